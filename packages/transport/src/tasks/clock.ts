import {Observable, firstValueFrom} from 'rxjs';
import {actAfter, actEvery} from './timers.js';

/**
 * Source of time. Monotonic time is for deadlines, wall time for records.
 * Tests put virtual time in its place.
 */
export interface Clock {
  /** Monotonic time, in ms. */
  now(): number;
  /** Wall time, in ms since 1970. */
  wall(): number;
  /** Emits again and again after each period, in ms. */
  every(periodMs: number): Observable<void>;
  /** Emits once after a time, in ms. */
  after(delayMs: number): Observable<void>;
}

/** The clocks of this VM. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  every: periodMs =>
    new Observable(subscriber => {
      const timer = actEvery(periodMs, () => subscriber.next());
      return () => timer.cancel();
    }),
  after: delayMs =>
    new Observable(subscriber => {
      const timer = actAfter(delayMs, () => {
        subscriber.next();
        subscriber.complete();
      });
      return () => timer.cancel();
    }),
};

/** Waits for a time of a clock. */
export const pause = (clock: Clock, ms: number): Promise<void> =>
  firstValueFrom(clock.after(ms));

/** Waits for a time of this VM's clock. */
export const sleep = (ms: number): Promise<void> => pause(systemClock, ms);
