/**
 * Detects stalled runs. Load pattern: workers that look healthy and answer, but
 * on which tasks make no progress.
 */

/**
 * Progress of a run as its worker reports it, and the time of the last change.
 */
export interface RunProgressView {
  /** Completed share of the work, 0 to 100. */
  readonly percent: number;
  /** Monotonic time of the last change of `percent`, in ms. */
  readonly changedAt: number;
}

/** Minimum time without progress after which a run counts as stalled, in ms. */
const MIN_STALL_MS = 2500;
/**
 * Fraction of a task's estimate without progress after which its run counts as
 * stalled.
 */
const ESTIMATE_SHARE = 0.5;

/**
 * Whether a run with an estimated duration in ms is stalled at a monotonic time
 * in ms.
 */
export const isStalled = (
  {percent, changedAt}: RunProgressView,
  estimateMs: number,
  now: number,
): boolean =>
  percent < 100 &&
  now - changedAt > Math.max(MIN_STALL_MS, ESTIMATE_SHARE * estimateMs);
