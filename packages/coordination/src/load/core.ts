/**
 * Decides when a leader takes no new work because it is late with what it has.
 * Load pattern: a burst of submissions fills the leader's one thread. Each turn
 * takes longer, copies of the log count as old and lead their questions to the
 * leader, and all that it has accepted is late: starts, ends and answers. Work
 * that is not accepted yet goes first.
 */

/** Interval of the samples, in ms. */
export const LOAD_SAMPLE_MS = 100;
/** Time over which lateness is smoothed, in ms: one long turn alone refuses nothing. */
const SMOOTHING_MS = 1000;
/** Lateness of the usual turn from which new work is refused, in ms: copies count as old from there on. */
const REFUSE_LATE_MS = 250;
/** Lateness below which new work is taken again, in ms. */
const RESUME_LATE_MS = 100;
/** Time after which a client that was refused may come back, in ms. */
const RETRY_AFTER_MS = 1000;

/** Whether new work is taken. */
export type LoadDecision =
  | {readonly kind: 'take'}
  | {
      readonly kind: 'refuse';
      /** How late the usual turn is, in ms. */
      readonly lateMs: number;
      readonly retryAfterMs: number;
    };

/** Part of the time that a loop is late, where each sample is late by a time in ms. */
const shareOf = (lateMs: number): number => lateMs / (LOAD_SAMPLE_MS + lateMs);

/** Judges samples that a timer takes. */
export class LoadShedder {
  /** Part of the last second or so for which samples were overdue. */
  private lateShare = 0;
  private isRefusing = false;

  constructor(private lastAt: number) {}

  /** Notes that a sample was taken, at a monotonic time in ms. */
  recordSample(now: number): void {
    const spanMs = Math.max(0, now - this.lastAt);
    this.lastAt = now;
    const lateMs = Math.max(0, spanMs - LOAD_SAMPLE_MS);
    const weight = 1 - Math.exp(-spanMs / SMOOTHING_MS);
    if (spanMs > 0)
      this.lateShare += weight * (lateMs / spanMs - this.lateShare);
    const limitMs = this.isRefusing ? RESUME_LATE_MS : REFUSE_LATE_MS;
    this.isRefusing = this.lateShare >= shareOf(limitMs);
  }

  /** Decides about new work. */
  decide(): LoadDecision {
    if (!this.isRefusing) return {kind: 'take'};
    const {lateShare} = this;
    const lateMs = Math.round((LOAD_SAMPLE_MS * lateShare) / (1 - lateShare));
    return {kind: 'refuse', lateMs, retryAfterMs: RETRY_AFTER_MS};
  }
}
