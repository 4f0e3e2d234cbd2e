/**
 * Detects that a leader should transfer its leadership because of a slow disk.
 * Load pattern: one disk of the cell becomes slow for seconds, and every commit
 * waits for the leader's own sync although the other voters are fast. A leader
 * whose whole process lags, as under a burst, must not blame its disk: a
 * transfer would only add to the load.
 */

/** Number of consecutive slow syncs that trigger a transfer. */
const SLOW_SYNC_COUNT = 6;
/** Wait for the disk from which a sync is slow, in ms: several times that of a healthy disk. */
export const SLOW_SYNC_MS = 40;
/** Shortest time between two transfers, in ms, as all disks may be slow. */
const TRANSFER_PAUSE_MS = 8000;

/** Duration of a sync, and the lag of the process meanwhile. */
export interface ObservedSync {
  readonly tookMs: number;
  /** Delay of a timer that was due during the sync, in ms. */
  readonly lagMs: number;
  /**
   * Time for which the event loop had nothing to do during the sync, in ms. A
   * busy loop sees the end of a sync late, one turn for each of its steps.
   */
  readonly idleMs: number;
}

/** Timer delay, as a fraction of the sync's duration, above which the disk is not to blame. */
const MAX_LAG_FRACTION = 0.25;

/** Monitors the syncs of one VM. */
export class DiskGuard {
  private slowCount = 0;
  private notBefore = Number.NEGATIVE_INFINITY;

  /**
   * Records a sync that ended at a monotonic time in ms.
   * @returns whether the leadership should be transferred now.
   */
  recordSync({tookMs, lagMs, idleMs}: ObservedSync, now: number): boolean {
    const isSlow = idleMs >= SLOW_SYNC_MS && lagMs <= MAX_LAG_FRACTION * tookMs;
    this.slowCount = isSlow ? this.slowCount + 1 : 0;
    if (this.slowCount < SLOW_SYNC_COUNT || now < this.notBefore) return false;
    this.slowCount = 0;
    this.notBefore = now + TRANSFER_PAUSE_MS;
    return true;
  }
}
