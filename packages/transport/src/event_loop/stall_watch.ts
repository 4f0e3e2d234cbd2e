/**
 * Bounds how long a message may have waited unread. A process that stands still
 * (stopped, suspended or starved) reads what arrived meanwhile only afterwards, and
 * nothing in the message tells when it came.
 */
import type {Subscription} from 'rxjs';
import type {Clock} from '../tasks/clock.js';
import {SuspensionDetector} from '../tasks/suspension.js';
import {SAMPLE_INTERVAL_MS} from './lag_detector.js';

/** Time between two reads of the sockets from which on a process has stood still, in ms. */
const MIN_STALL_MS = 500;

/** Notes regularly that the event loop reads its sockets. */
export class StallWatch {
  private readonly suspensions: SuspensionDetector;
  /** Monotonic times of the last two ticks, in ms. */
  private lastAt: number;
  private earlierAt: number;
  private timer: Subscription | undefined;

  constructor(private readonly clock: Clock) {
    this.suspensions = new SuspensionDetector(clock);
    this.lastAt = clock.now();
    this.earlierAt = this.lastAt;
  }

  /** Starts watching. */
  start(): void {
    this.timer = this.clock.every(SAMPLE_INTERVAL_MS).subscribe(() => {
      this.earlierAt = this.lastAt;
      this.lastAt = this.clock.now();
      this.suspensions.checkClocks();
    });
  }

  /** Stops watching. */
  stop(): void {
    this.timer?.unsubscribe();
  }

  /**
   * Longest time for which a message that is read now may have waited, in ms; 0 unless
   * the process has just stood still. A connection is accepted in one turn of the event
   * loop and read in the next, so the tick before the last one counts.
   */
  get unreadMs(): number {
    const elapsedMs = this.suspensions.elapsedSince(this.earlierAt);
    return elapsedMs < MIN_STALL_MS ? 0 : Math.round(elapsedMs);
  }

  /**
   * Lets the sockets be read on, if the process has just stood still: the end of a
   * connection is read after what came before it.
   */
  async readPending(): Promise<void> {
    if (this.unreadMs === 0) return;
    for (let turn = 0; turn < CLOSE_TURNS; turn++) await turnEventLoop();
  }
}

/** Turns of the event loop within which a connection that its peer has ended closes. */
const CLOSE_TURNS = 8;

const turnEventLoop = (): Promise<void> =>
  new Promise(resolve => setImmediate(resolve));
