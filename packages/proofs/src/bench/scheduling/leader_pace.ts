/**
 * Limits the rate of a simulated leader: how long a pass takes, how long it
 * pauses, and when it does nothing at all.
 */
import type {LoadPattern} from './load.js';

/** How fast a leader works. */
export interface LeaderTiming {
  /** Fixed time of a pass, and time for each step that waits, in ms. */
  readonly passMs: number;
  readonly passPerWaitMs: number;
  /** Pause after a pass, as a multiple of its time. */
  readonly pauseFactor: number;
  /** Time to commit a command to the log, in ms. */
  readonly commitMs: number;
  /** Time from a recorded end until the client is shown it, in ms. */
  readonly tellMs: number;
}

/** A leader without a measurable load. */
export const IDLE_LEADER: LeaderTiming = {
  passMs: 0,
  passPerWaitMs: 0,
  pauseFactor: 0,
  commitMs: 14,
  tellMs: 0,
};

/** Minimum delay between a change and the next pass, in ms. */
const PASS_DELAY_MS = 8;

/** Says when passes and commits of a simulated leader happen. */
export class LeaderPace {
  private nextPassAt = 0;
  private frozenUntil = 0;

  constructor(private readonly timing: LeaderTiming) {}

  /** Makes the leader do nothing until a time. */
  freeze(until: number): void {
    this.frozenUntil = Math.max(this.frozenUntil, until);
  }

  /** Delay of the pass that a change at `now` causes, in ms. */
  passDelay(now: number): number {
    const at = Math.max(now + PASS_DELAY_MS, this.nextPassAt, this.frozenUntil);
    return at - now;
  }

  /**
   * Notes a pass.
   * @returns its duration, in ms.
   */
  notePass(now: number, waitCount: number): number {
    const {passMs, passPerWaitMs, pauseFactor} = this.timing;
    const tookMs = passMs + passPerWaitMs * waitCount;
    this.nextPassAt = now + tookMs * (1 + pauseFactor);
    return tookMs;
  }

  /** Whether the leader does nothing now. */
  isFrozen(now: number): boolean {
    return now < this.frozenUntil;
  }

  /** Delay until a command proposed at `now` is committed, in ms. */
  commitDelay(now: number): number {
    return Math.max(0, this.frozenUntil - now) + this.timing.commitMs;
  }
}

/** Pace of the leader of a load pattern. */
export const paceOf = ({leader}: LoadPattern): LeaderPace =>
  new LeaderPace(leader ?? IDLE_LEADER);
