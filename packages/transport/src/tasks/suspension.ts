/**
 * Measures elapsed time including suspensions of the VM. The monotonic clock of a
 * suspended VM stands still while leases that other VMs granted it expire; after
 * it resumes, its wall clock shows the time that passed.
 */
import type {Clock} from './clock.js';

/**
 * Minimum advance of the wall clock over the monotonic clock that counts as a
 * suspension, in ms.
 */
const MIN_SUSPENDED_MS = 50;
/** Fraction of the elapsed time by which a slewed wall clock may run ahead. */
const MAX_WALL_DRIFT = 0.001;
/** Maximum time between the reads of both clocks, in ms, and number of attempts at it. */
const TOGETHER_MS = 5;
const MAX_TRIES = 3;
/** Number of recent suspensions that are kept. */
const MAX_REMEMBERED = 8;

interface Suspension {
  /** Monotonic time of its detection, in ms. */
  readonly noticedAt: number;
  readonly lengthMs: number;
}

/**
 * Detects suspensions whenever it is queried; a forward step of the wall clock
 * counts as one too.
 */
export class SuspensionDetector {
  private last: {readonly now: number; readonly wall: number};
  private suspensions: Suspension[] = [];

  constructor(private readonly clock: Pick<Clock, 'now' | 'wall'>) {
    this.last = this.read();
  }

  /** Time since a monotonic time, including suspensions since then, in ms. */
  elapsedSince(at: number): number {
    this.checkClocks();
    const lostMs = this.suspensions
      .filter(({noticedAt}) => noticedAt >= at)
      .reduce((sum, {lengthMs}) => sum + lengthMs, 0);
    return this.last.now - at + lostMs;
  }

  /**
   * Compares both clocks; a suspension between two checks counts for all times
   * before the second.
   */
  checkClocks(): void {
    const read = this.read();
    const passedMs = read.now - this.last.now;
    const aheadMs = read.wall - this.last.wall - passedMs;
    this.last = read;
    if (aheadMs < MIN_SUSPENDED_MS + MAX_WALL_DRIFT * passedMs) return;
    this.suspensions.push({noticedAt: read.now, lengthMs: aheadMs});
    this.suspensions = this.suspensions.slice(-MAX_REMEMBERED);
  }

  /** Reads both clocks, again if the process was not scheduled between the reads. */
  private read(): {readonly now: number; readonly wall: number} {
    for (let tries = 1; ; tries++) {
      const now = this.clock.now();
      const wall = this.clock.wall();
      const isTogether = this.clock.now() - now < TOGETHER_MS;
      if (isTogether || tries === MAX_TRIES) return {now, wall};
    }
  }
}
