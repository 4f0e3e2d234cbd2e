/**
 * Load shedding: rejects new work while the leader's event loop is delayed.
 * Load pattern: a burst of submissions saturates the leader's one thread. Event
 * loop turns take longer, replicas count as stale and send their reads to the
 * leader, and all work already accepted is delayed: starts, ends and responses.
 * Work that is not accepted yet is therefore shed first.
 */

/** Interval of the samples, in ms. */
export const LOAD_SAMPLE_MS = 100;
/** Time constant of the lag average, in ms: a single long turn sheds nothing. */
const SMOOTHING_MS = 1000;
/** Average lag from which new work is rejected, in ms: from there on replicas count as stale. */
const SHED_LAG_MS = 250;
/** Average lag below which new work is accepted again, in ms. */
const RESUME_LAG_MS = 100;
/** Time after which a rejected client may retry, in ms. */
const RETRY_AFTER_MS = 1000;

/** Whether new work is accepted. */
export type LoadDecision =
  | {readonly kind: 'take'}
  | {
      readonly kind: 'refuse';
      /** Average event loop lag, in ms. */
      readonly lateMs: number;
      readonly retryAfterMs: number;
    };

/** Fraction of time for which samples are overdue when each one is late by the given time in ms. */
const lateFractionOf = (lateMs: number): number =>
  lateMs / (LOAD_SAMPLE_MS + lateMs);

/** Averages the lag of timer samples and decides by it. */
export class LoadShedder {
  /** Smoothed fraction of time for which samples were overdue, over about a second. */
  private lateFraction = 0;
  private isShedding = false;

  constructor(private lastAt: number) {}

  /** Records a sample taken at a monotonic time in ms. */
  recordSample(now: number): void {
    const spanMs = Math.max(0, now - this.lastAt);
    this.lastAt = now;
    const lateMs = Math.max(0, spanMs - LOAD_SAMPLE_MS);
    const weight = 1 - Math.exp(-spanMs / SMOOTHING_MS);
    if (spanMs > 0)
      this.lateFraction += weight * (lateMs / spanMs - this.lateFraction);
    const limitMs = this.isShedding ? RESUME_LAG_MS : SHED_LAG_MS;
    this.isShedding = this.lateFraction >= lateFractionOf(limitMs);
  }

  /** Decides whether new work is accepted. */
  decide(): LoadDecision {
    if (!this.isShedding) return {kind: 'take'};
    const {lateFraction} = this;
    const lateMs = Math.round(
      (LOAD_SAMPLE_MS * lateFraction) / (1 - lateFraction),
    );
    return {kind: 'refuse', lateMs, retryAfterMs: RETRY_AFTER_MS};
  }
}
