/**
 * Decides which passes place the most urgent steps alone. Load pattern: a burst of
 * interactive work fills the leader's thread, while patient work that has room
 * keeps starting, giving way and ending beside it, at the same cost a task.
 */

/** Interval of the passes over all steps while the leader is busy, in ms. */
const FULL_PASS_INTERVAL_MS = 2000;

/** Decides how often a leader places all its waiting steps. */
export class PassRate {
  /** Monotonic time of the last pass over all steps, in ms. */
  private lastFullAt = Number.NEGATIVE_INFINITY;

  /** @param isBusy - whether less urgent work should wait. */
  constructor(private readonly isBusy: () => boolean) {}

  /** Whether a pass at a monotonic time in ms may leave less urgent steps to a later one. */
  mayDefer(now: number): boolean {
    const isUrgentOnly =
      this.isBusy() && now < this.lastFullAt + FULL_PASS_INTERVAL_MS;
    if (!isUrgentOnly) this.lastFullAt = now;
    return isUrgentOnly;
  }
}
