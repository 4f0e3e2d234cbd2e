/**
 * Tells when a leader should hand over because of its disk. Load pattern: one
 * disk of the cell turns slow for seconds, and every commit waits for the
 * leader's own sync although the other voters are fast. A leader that is late
 * with everything, as it is under a burst, must not take that for its disk:
 * a hand-over would only add to the load.
 */

/** Syncs in a row that must be slow. */
const SLOW_SYNCS = 6;
/** A sync from this time on is slow, in ms: several times that of a sound disk. */
export const SLOW_SYNC_MS = 40;
/** Time before a leadership is handed over again, in ms: all disks may be slow. */
const HAND_OVER_PAUSE_MS = 8000;

/** A sync, and how late the process was meanwhile. */
export interface ObservedSync {
  readonly tookMs: number;
  /** How late a timer was that was due during the sync, in ms. */
  readonly lagMs: number;
}

/** Part of a sync's time by which a timer may be late before the disk is not to blame. */
const MAX_LAG_SHARE = 0.25;

/** Watches the syncs of one VM. */
export class DiskGuard {
  private slowCount = 0;
  private notBefore = Number.NEGATIVE_INFINITY;

  /**
   * Notes a sync that ended at a monotonic time in ms.
   * @returns whether the leadership should be handed over now.
   */
  note({tookMs, lagMs}: ObservedSync, now: number): boolean {
    const isSlow = tookMs >= SLOW_SYNC_MS && lagMs <= MAX_LAG_SHARE * tookMs;
    this.slowCount = isSlow ? this.slowCount + 1 : 0;
    if (this.slowCount < SLOW_SYNCS || now < this.notBefore) return false;
    this.slowCount = 0;
    this.notBefore = now + HAND_OVER_PAUSE_MS;
    return true;
  }
}
