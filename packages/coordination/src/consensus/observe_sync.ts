/** Observes how long a sync takes, and what the process does meanwhile. */
import type {Clock} from '@primrosewick/transport';
import {SLOW_SYNC_MS, type ObservedSync} from './disk_guard.js';

const loopIdleMs = (): number => performance.eventLoopUtilization().idle;

/**
 * Starts the observation of a sync, with a timer that is due when it counts as slow.
 * @returns a function that is called once with the monotonic time at its end, in ms.
 */
export const observeSync = (clock: Clock): ((now: number) => ObservedSync) => {
  const startedAt = clock.now();
  const idleBefore = loopIdleMs();
  const dueAt = startedAt + SLOW_SYNC_MS;
  let firedAt: number | undefined;
  const timer = clock.after(SLOW_SYNC_MS).subscribe(() => {
    firedAt = clock.now();
  });
  return now => {
    timer.unsubscribe();
    return {
      tookMs: now - startedAt,
      lagMs: Math.max(0, (firedAt ?? now) - dueAt),
      idleMs: loopIdleMs() - idleBefore,
    };
  };
};
