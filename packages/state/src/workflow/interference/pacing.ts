/**
 * Decides how fast leftover tasks may run beside serving tasks. Load pattern:
 * leftover tasks push the tail latency of a serving task on their worker over
 * its target, by amounts that change within seconds. Pure: the times of the
 * observations are arguments. No caller orders this yet.
 */
import type {TaskKey} from '../types.js';

/** Percentages of full speed, from one level to the next; 0 is a stop. */
const LEVELS = [100, 40, 10, 0] as const;
const STOPPED = LEVELS.length - 1;
/**
 * Time for which a tail is over its target before anything is slowed, so that
 * one slow response slows nobody, in ms.
 */
const CONFIRM_MS = 400;
/**
 * Time that a level gets to show its effect, in ms. Three levels with their
 * confirmation, lists each 500 ms and a stop of 200 ms stay below 4,500 ms.
 */
const SETTLE_MS = 900;
/** A tail above this multiple of its target skips the first level. */
const FAR_OVER = 2;
/** A tail below this fraction of its target allows more speed. */
const CALM_FRACTION = 0.8;
/** Least and longest time of calm before tasks are sped up again, in ms. */
const MIN_CALM_MS = 3000;
const MAX_CALM_MS = 48_000;
/** Time after more speed in which a tail over its target shows that it was too much. */
const PROBATION_MS = 6000;

/** A serving task in a list of its worker. */
export interface ServingRun {
  /** Its tail latency, in ms; 0 while it is not known. */
  readonly tailMs: number;
  /** Its target, in ms; 0 without one. */
  readonly targetMs: number;
}

/** A run of a leftover task in a list of its worker. */
export interface LeftoverRun {
  readonly task: TaskKey;
  readonly run: number;
}

/** One list of a worker. */
export interface PaceObservation {
  /** Monotonic time, in ms. */
  readonly now: number;
  readonly serving: readonly ServingRun[];
  readonly leftover: readonly LeftoverRun[];
}

/** What to order for a run. */
export type PaceDecision =
  | (LeftoverRun & {readonly kind: 'pace'; readonly percent: number})
  | (LeftoverRun & {readonly kind: 'stop'});

/** Paces the leftover tasks of one worker; kept at the leader alone. */
export class WorkerPacing {
  private level = 0;
  private overSince: number | undefined;
  private calmSince: number | undefined;
  private changedAt = Number.NEGATIVE_INFINITY;
  private spedUpAt = Number.NEGATIVE_INFINITY;
  private calmMs = MIN_CALM_MS;
  /** The level that each run was last ordered to. */
  private ordered = new Map<string, number>();

  /** Percentage of full speed that leftover tasks may run at; 0 is a stop. */
  get percent(): number {
    return LEVELS[this.level] ?? 0;
  }

  /** Takes a list of the worker, and returns the orders that it calls for. */
  observe({now, serving, leftover}: PaceObservation): readonly PaceDecision[] {
    const ratios = serving
      .filter(({tailMs, targetMs}) => tailMs > 0 && targetMs > 0)
      .map(({tailMs, targetMs}) => tailMs / targetMs);
    if (!serving.some(({targetMs}) => targetMs > 0)) this.reset();
    else if (ratios.length > 0) this.noteTail(Math.max(...ratios), now);
    return this.ordersFor(leftover);
  }

  private noteTail(ratio: number, now: number): void {
    this.overSince = ratio > 1 ? (this.overSince ?? now) : undefined;
    const isCalm = ratio <= CALM_FRACTION;
    this.calmSince = isCalm ? (this.calmSince ?? now) : undefined;
    if (this.overSince !== undefined) this.slowDown(ratio, now);
    else if (this.calmSince !== undefined) this.speedUp(now);
  }

  private slowDown(ratio: number, now: number): void {
    const isConfirmed = now - (this.overSince ?? now) >= CONFIRM_MS;
    const isSettled = now - this.changedAt >= SETTLE_MS;
    if (!isConfirmed || !isSettled || this.level === STOPPED) return;
    const wasTooFast = now - this.spedUpAt <= PROBATION_MS;
    if (wasTooFast) this.calmMs = Math.min(MAX_CALM_MS, 2 * this.calmMs);
    const skipped = this.level === 0 && ratio > FAR_OVER ? 1 : 0;
    this.changeTo(this.level + 1 + skipped, now);
  }

  private speedUp(now: number): void {
    if (this.level === 0) {
      const isProven = now - this.spedUpAt >= MAX_CALM_MS;
      if (isProven) this.calmMs = MIN_CALM_MS;
      return;
    }
    const since = Math.max(this.calmSince ?? now, this.changedAt);
    if (now - since < this.calmMs) return;
    this.spedUpAt = now;
    this.changeTo(this.level - 1, now);
  }

  private changeTo(level: number, now: number): void {
    this.level = level;
    this.changedAt = now;
  }

  private reset(): void {
    this.level = 0;
    this.overSince = undefined;
    this.calmSince = undefined;
    this.calmMs = MIN_CALM_MS;
  }

  /** Orders for the runs that are not at the level yet, also for new ones. */
  private ordersFor(leftover: readonly LeftoverRun[]): PaceDecision[] {
    const {level, percent} = this;
    const known = this.ordered;
    this.ordered = new Map();
    return leftover.flatMap(({task, run}): PaceDecision[] => {
      const key = `${task}/${run}`;
      this.ordered.set(key, level);
      if ((known.get(key) ?? 0) === level) return [];
      return level === STOPPED
        ? [{kind: 'stop', task, run}]
        : [{kind: 'pace', task, run, percent}];
    });
  }
}
