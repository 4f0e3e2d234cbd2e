import {Observable} from 'rxjs';
import type {Clock} from '@primrosewick/transport';
import type {EventQueue} from './event_queue.js';

/** A process on virtual time that can be frozen and killed. */
export class SimProcess {
  private backlog: Array<() => void> = [];
  isAlive = true;
  isFrozen = false;

  /** Runs something in the process: later when it is frozen, never when it has died. */
  run(action: () => void): void {
    if (!this.isAlive) return;
    if (this.isFrozen) this.backlog.push(action);
    else action();
  }

  /** Goes on after a freeze, with all that has come in meanwhile. */
  thaw(): void {
    this.isFrozen = false;
    const {backlog} = this;
    this.backlog = [];
    for (const action of backlog) this.run(action);
  }

  /** Ends the process. */
  kill(): void {
    this.isAlive = false;
    this.backlog = [];
  }
}

/** Options of a virtual clock. */
export interface VirtualClockOptions {
  readonly queue: EventQueue;
  readonly process: SimProcess;
  /** Speed of the clock against virtual time, 1 for none too fast or slow. */
  readonly rate: number;
}

const WALL_START_MS = 1_800_000_000_000;

/** Clock of one process, which may run a little fast or slow. */
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
