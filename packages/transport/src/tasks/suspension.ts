/**
 * Tells how old a moment is for others. The monotonic clock of a VM that is
 * suspended stands still, while what others allowed it runs out; its wall clock
 * tells of that time once it goes on.
 */
import type {Clock} from './clock.js';

/** Advance of the wall clock over the monotonic one that counts as a suspension, in ms. */
const MIN_SUSPENDED_MS = 50;
/** Share of a time by which a wall clock that is being adjusted may run ahead. */
const MAX_WALL_DRIFT = 0.001;
/** Time within which both clocks are read, in ms, and how often that is tried. */
const TOGETHER_MS = 5;
const MAX_TRIES = 3;
/** Suspensions that are remembered. */
const MAX_REMEMBERED = 8;

interface Suspension {
  /** Monotonic time at which it was noticed, in ms. */
  readonly noticedAt: number;
  readonly lengthMs: number;
}

/** Notices suspensions, as it is asked; a step of the wall clock counts as one too. */
export class SuspensionDetector {
  private last: {readonly now: number; readonly wall: number};
  private suspensions: Suspension[] = [];

  constructor(private readonly clock: Pick<Clock, 'now' | 'wall'>) {
    this.last = this.read();
  }

  /** Time since a moment of the monotonic clock, with suspensions since then, in ms. */
  elapsedSince(at: number): number {
    this.checkClocks();
    const lostMs = this.suspensions
      .filter(({noticedAt}) => noticedAt >= at)
      .reduce((sum, {lengthMs}) => sum + lengthMs, 0);
    return this.last.now - at + lostMs;
  }

  /** Looks at both clocks; what happened between two looks counts for all moments before the second. */
  checkClocks(): void {
    const read = this.read();
    const passedMs = read.now - this.last.now;
    const aheadMs = read.wall - this.last.wall - passedMs;
    this.last = read;
    if (aheadMs < MIN_SUSPENDED_MS + MAX_WALL_DRIFT * passedMs) return;
    this.suspensions.push({noticedAt: read.now, lengthMs: aheadMs});
    this.suspensions = this.suspensions.slice(-MAX_REMEMBERED);
  }

  /** Reads both clocks together; a process may be kept from running between two reads. */
  private read(): {readonly now: number; readonly wall: number} {
    for (let tries = 1; ; tries++) {
      const now = this.clock.now();
      const wall = this.clock.wall();
      const isTogether = this.clock.now() - now < TOGETHER_MS;
      if (isTogether || tries === MAX_TRIES) return {now, wall};
    }
  }
}
