/**
 * Tells runs that stand still. Load pattern: workers that look sound and answer,
 * on which tasks make no progress.
 */

/** What a worker lists of a run, now and since when without change. */
export interface RunProgressView {
  /** Share of the work that is done, 0 to 100. */
  readonly percent: number;
  /** Monotonic time of the last change of the share, in ms. */
  readonly changedAt: number;
}

/** Shortest time without progress after which a run counts as stalled, in ms. */
const MIN_STALL_MS = 2500;
/** Part of a task's estimate without any progress that counts as a stall. */
const ESTIMATE_SHARE = 0.5;

/** Whether a run with an estimated duration in ms stands still. */
export const isStalled = (
  {percent, changedAt}: RunProgressView,
  estimateMs: number,
  now: number,
): boolean =>
  percent < 100 &&
  now - changedAt > Math.max(MIN_STALL_MS, ESTIMATE_SHARE * estimateMs);
