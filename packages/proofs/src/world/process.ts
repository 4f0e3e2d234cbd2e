import {Observable} from 'rxjs';
import type {Clock} from '@primrosewick/transport';
import type {EventQueue} from './event_queue.js';

/** A process on virtual time that can be frozen and killed. */
export class SimProcess {
  private backlog: Array<() => void> = [];
  isAlive = true;
  isFrozen = false;

  /**
   * Runs an action in the process: deferred while frozen, dropped once killed.
   */
  run(action: () => void): void {
    if (!this.isAlive) return;
    if (this.isFrozen) this.backlog.push(action);
    else action();
  }

  /** Resumes after a freeze and runs the actions deferred meanwhile. */
  thaw(): void {
    this.isFrozen = false;
    const {backlog} = this;
    this.backlog = [];
    for (const action of backlog) this.run(action);
  }

  /** Kills the process and drops its deferred actions. */
  kill(): void {
    this.isAlive = false;
    this.backlog = [];
  }
}

/** Options of a virtual clock. */
export interface VirtualClockOptions {
  readonly queue: EventQueue;
  readonly process: SimProcess;
  /** Rate of the clock relative to virtual time; 1 is exact. */
  readonly rate: number;
}

const WALL_START_MS = 1_800_000_000_000;

/** Clock of one process, which may run slightly fast or slow. */
export class VirtualClock implements Clock {
  constructor(private readonly options: VirtualClockOptions) {}

  now(): number {
    return this.options.queue.now * this.options.rate;
  }

  wall(): number {
    return Math.floor(WALL_START_MS + this.options.queue.now);
  }

  every(periodMs: number): Observable<void> {
    return new Observable(subscriber => {
      const emitLater = (): void => {
        this.schedule(periodMs, () => {
          if (subscriber.closed) return;
          subscriber.next();
          emitLater();
        });
      };
      emitLater();
    });
  }

  after(delayMs: number): Observable<void> {
    return new Observable(subscriber => {
      this.schedule(delayMs, () => {
        subscriber.next();
        subscriber.complete();
      });
    });
  }

  private schedule(delayMs: number, action: () => void): void {
    const {queue, process, rate} = this.options;
    queue.after(delayMs / rate, () => process.run(action));
  }
}
