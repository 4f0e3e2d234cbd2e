import {Observable, firstValueFrom, share} from 'rxjs';
import {startTimeout, startInterval} from './timers.js';

/**
 * Source of time: monotonic for deadlines, wall-clock for records. Tests
 * substitute virtual time.
 */
export interface Clock {
  /** Monotonic time, in ms. */
  now(): number;
  /** Wall time, in ms since 1970. */
  wall(): number;
  /**
   * Emits once per period, in ms. All subscribers to the same period share one
   * timer, so the first emission comes within a period.
   */
  every(periodMs: number): Observable<void>;
  /** Emits once after a time, in ms. */
  after(delayMs: number): Observable<void>;
}

const makeTicks = (periodMs: number): Observable<void> =>
  new Observable<void>(subscriber => {
    const timer = startInterval(periodMs, () => subscriber.next());
    return () => timer.cancel();
  }).pipe(share());

/** Ticks by period, in ms; one timer per period limits how often an idle VM wakes. */
const ticksByPeriod = new Map<number, Observable<void>>();

/** The clocks of this VM. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  every: periodMs => {
    const ticks = ticksByPeriod.get(periodMs) ?? makeTicks(periodMs);
    ticksByPeriod.set(periodMs, ticks);
    return ticks;
  },
  after: delayMs =>
    new Observable(subscriber => {
      const timer = startTimeout(delayMs, () => {
        subscriber.next();
        subscriber.complete();
      });
      return () => timer.cancel();
    }),
};

/** Waits for a time of the given clock, in ms. */
export const pause = (clock: Clock, ms: number): Promise<void> =>
  firstValueFrom(clock.after(ms));

/** Waits for a time of the system clock, in ms. */
export const sleep = (ms: number): Promise<void> => pause(systemClock, ms);
