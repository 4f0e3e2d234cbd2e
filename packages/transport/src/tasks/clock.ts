import {Observable, firstValueFrom, share} from 'rxjs';
import {startTimeout, startInterval} from './timers.js';

/**
 * Source of time. Monotonic time is for deadlines, wall time for records.
 * Tests put virtual time in its place.
 */
export interface Clock {
  /** Monotonic time, in ms. */
  now(): number;
  /** Wall time, in ms since 1970. */
  wall(): number;
  /**
   * Emits again and again after each period, in ms. The first time comes within a
   * period: all who ask for the same one are called together.
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

/** Ticks by period, in ms: one timer wakes the VM for all. */
const ticksOf = new Map<number, Observable<void>>();

/** The clocks of this VM. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  every: periodMs => {
    const ticks = ticksOf.get(periodMs) ?? makeTicks(periodMs);
    ticksOf.set(periodMs, ticks);
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

/** Waits for a time of a clock. */
export const pause = (clock: Clock, ms: number): Promise<void> =>
  firstValueFrom(clock.after(ms));

/** Waits for a time of this VM's clock. */
export const sleep = (ms: number): Promise<void> => pause(systemClock, ms);
