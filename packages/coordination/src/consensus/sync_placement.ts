/**
 * Decides whether a node waits for its disk in place, with its event loop
 * stopped, or lets the loop go on meanwhile. Load pattern: a leader whose loop is
 * busy sees the end of each step of a write a turn late, so a sync of a few ms
 * takes ten times as long, and every commit with it. Stopping the loop for the
 * disk's own time costs less than the turns.
 */
import type {ObservedSync} from './disk_guard.js';

/** Duration from which a sync that the loop did not wait for took too long, in ms. */
const LONG_SYNC_MS = 25;
/** Time for which syncs are made in place until one is observed again, in ms. */
const IN_PLACE_MS = 500;
/** Duration from which a sync in place is left to the background, in ms. */
const SLOW_DISK_MS = 20;
/** Time for which a slow disk does not stop the loop again, in ms. */
const SLOW_DISK_PAUSE_MS = 3000;

/** Chooses where the syncs of one node are waited for. */
export class SyncPlacement {
  private inPlaceUntil = Number.NEGATIVE_INFINITY;
  private notInPlaceBefore = Number.NEGATIVE_INFINITY;

  /** Whether a sync that starts at a monotonic time in ms is made in place. */
  isInPlace(now: number): boolean {
    return now < this.inPlaceUntil && now >= this.notInPlaceBefore;
  }

  /** Records a sync that the loop did not wait for, and that ended at a monotonic time. */
  recordBackground({tookMs, idleMs}: ObservedSync, now: number): void {
    const isLoopBusy = idleMs < tookMs / 2;
    if (tookMs >= LONG_SYNC_MS && isLoopBusy)
      this.inPlaceUntil = now + IN_PLACE_MS;
  }

  /** Records a sync in place that took a time in ms and ended at a monotonic time. */
  recordInPlace(tookMs: number, now: number): void {
    if (tookMs >= SLOW_DISK_MS)
      this.notInPlaceBefore = now + SLOW_DISK_PAUSE_MS;
  }
}
