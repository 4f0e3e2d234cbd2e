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
const MAX_READ_SKEW_MS = 5;
const MAX_READ_ATTEMPTS = 3;
/** Number of recent suspensions that are kept. */
const MAX_SUSPENSIONS = 8;

interface Suspension {
  /** Monotonic time of its detection, in ms. */
  readonly detectedAt: number;
  readonly durationMs: number;
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
  elapsedSince(since: number): number {
    this.checkClocks();
    const suspendedMs = this.suspensions
      .filter(({detectedAt}) => detectedAt >= since)
      .reduce((sum, {durationMs}) => sum + durationMs, 0);
    return this.last.now - since + suspendedMs;
  }

  /**
   * Compares both clocks; a suspension between two checks counts for all times
   * before the second.
   */
  checkClocks(): void {
    const reading = this.read();
    const elapsedMs = reading.now - this.last.now;
    const wallAheadMs = reading.wall - this.last.wall - elapsedMs;
    this.last = reading;
    if (wallAheadMs < MIN_SUSPENDED_MS + MAX_WALL_DRIFT * elapsedMs) return;
    this.suspensions.push({detectedAt: reading.now, durationMs: wallAheadMs});
    this.suspensions = this.suspensions.slice(-MAX_SUSPENSIONS);
  }

  /** Reads both clocks, again if the process was not scheduled between the reads. */
  private read(): {readonly now: number; readonly wall: number} {
    for (let attempt = 1; ; attempt++) {
      const now = this.clock.now();
      const wall = this.clock.wall();
      const isConsistent = this.clock.now() - now < MAX_READ_SKEW_MS;
      if (isConsistent || attempt === MAX_READ_ATTEMPTS) return {now, wall};
    }
  }
}
