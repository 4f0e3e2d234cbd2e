/**
 * How long the answer to a call for advice is waited for. How long it should take
 * is known: the call itself and those before it on the same VM, which are served in
 * turn. A connection that has gone silent shows only by this wait.
 */
import type {StepKey, VmId} from '@primrosewick/state';

/** Shortest wait, for slow event loops and adviser alike, in ms. */
const MIN_PATIENCE_MS = 500;
/** A sound adviser may take this many times as long as expected. */
const SLOW_FACTOR = 2;
/** Wait to which repeated calls grow, in ms. */
const MAX_PATIENCE_MS = 4000;
/** Unanswered calls about a step from which on the wait doubles with each. */
const GROWS_AFTER = 1;

/** Calls about a step that were not answered, and the VM that made the last one. */
export interface UnansweredCalls {
  readonly count: number;
  readonly vm: VmId;
}

/** Largest growth of all waits. */
const MAX_GROWTH = 8;

/**
 * Decides how long answers are waited for. The first unanswered call of a VM is one
 * more for a silent connection. After the second the adviser may be slow or hung, and
 * it still serves what was given up: all calls are waited for longer until it answers,
 * as they would flood it otherwise.
 */
export class AdvicePatience {
  private growth = 1;

  /** Time to wait for an answer that is expected after `expectedMs`, in ms. */
  answerMs(expectedMs: number, unansweredCount: number): number {
    const soundMs = soundMsOf(expectedMs);
    const ofStep = 2 ** Math.max(0, unansweredCount - GROWS_AFTER);
    const growth = Math.max(ofStep, this.growth);
    return Math.max(soundMs, Math.min(MAX_PATIENCE_MS, growth * soundMs));
  }

  /** Notes that a VM has had no answer over a new connection either. */
  noteSlow(): void {
    this.growth = Math.min(MAX_GROWTH, 2 * this.growth);
  }

  /** Notes an answer; waits shrink by half with each that comes early enough for that. */
  noteAnswer(tookMs: number, expectedMs: number): void {
    const neededGrowth = (SLOW_FACTOR * tookMs) / soundMsOf(expectedMs);
    this.growth = Math.min(
      MAX_GROWTH,
      Math.max(1, neededGrowth, this.growth / 2),
    );
  }
}

const soundMsOf = (expectedMs: number): number =>
  MIN_PATIENCE_MS + SLOW_FACTOR * expectedMs;

/** Remembers which steps have calls that were not answered. */
export class UnansweredSteps {
  private readonly calls = new Map<StepKey, UnansweredCalls>();

  get(key: StepKey): UnansweredCalls | undefined {
    return this.calls.get(key);
  }

  /** Notes a call that failed unanswered; `isOverdue` if it was waited out. */
  note(key: StepKey, vm: VmId, isOverdue: boolean): void {
    const count = this.calls.get(key)?.count ?? 0;
    this.calls.set(key, {vm, count: isOverdue ? count + 1 : count});
  }

  /** Forgets the calls about a step that is advised, or is not asked about again. */
  forget(key: StepKey): void {
    this.calls.delete(key);
  }
}
