/** Estimates a worker's clock from its answers, which carry its reading. */

/** Fraction by which a worker's clock may be slower than this VM's. */
const MAX_DRIFT = 0.02;
/** Margin in addition to the drift, in ms. */
const LAPSE_MARGIN_MS = 150;
/** Age of a reading above which a lease needs a new one, in ms. */
const MAX_READING_AGE_MS = 60_000;

/** Options of the clock of a worker that earlier leaders may have granted leases. */
export interface WorkerClockOptions {
  /** Longest lease that an earlier leader may have granted, in ms. */
  readonly maxGrantedMs: number;
  /** Monotonic time until which an earlier leader may have extended the lease, in ms. */
  readonly previousLeaderUntil: number;
}

/** Tracks one worker's clock and the end of its lease. */
export class WorkerClock {
  private sample: {readonly at: number; readonly clockMs: number} | undefined;
  /** Latest lease end sent by this leader, on the worker's clock, in ms. */
  private leaseEnd = Number.NEGATIVE_INFINITY;
  /** Monotonic time by which a lease of an earlier leader has lapsed, in ms. */
  private unknownLeaseLapseAt: number;

  constructor(private readonly options: WorkerClockOptions) {
    this.unknownLeaseLapseAt = this.lapseAfter(
      options.previousLeaderUntil,
      options.maxGrantedMs,
    );
  }

  /** Notes the reading, if any, in an answer that arrived at the monotonic time `now`. */
  note(now: number, clockMs: number | undefined): void {
    if (clockMs === undefined) return;
    this.sample = {at: now, clockMs};
  }

  /** Whether a recent reading allows for a lease at the monotonic time `now`. */
  isKnown(now: number): boolean {
    return (
      this.sample !== undefined && now - this.sample.at <= MAX_READING_AGE_MS
    );
  }

  /**
   * Grants a lease of `leaseMs` at most from the monotonic time `now`: less by what
   * the clock may have been slow since it was read.
   * @returns its end on the worker's clock, in ms, or undefined while that clock is unknown.
   */
  leaseFor(now: number, leaseMs: number): number | undefined {
    if (!this.sample || !this.isKnown(now)) return undefined;
    const {at, clockMs} = this.sample;
    const passedMs = (now - at) * (1 - MAX_DRIFT);
    const end = Math.floor(clockMs + passedMs + leaseMs);
    this.leaseEnd = Math.max(this.leaseEnd, end);
    return end;
  }

  /** Monotonic time by which every lease granted so far has lapsed, in ms. */
  get lapseAt(): number {
    if (!this.sample) return this.unknownLeaseLapseAt;
    const {at, clockMs} = this.sample;
    const own = this.lapseAfter(at, this.leaseEnd - clockMs);
    return Math.max(own, this.unknownLeaseLapseAt);
  }

  /**
   * Notes that since the monotonic time `now` the worker obeys only this leader.
   * Earlier leaders can extend its lease no further from then on, so the first such
   * time counts.
   */
  noteSoleLeader(now: number): void {
    this.unknownLeaseLapseAt = Math.min(
      this.unknownLeaseLapseAt,
      this.lapseAfter(now, this.options.maxGrantedMs),
    );
  }

  private lapseAfter(now: number, leaseMs: number): number {
    return now + Math.max(0, leaseMs) / (1 - MAX_DRIFT) + LAPSE_MARGIN_MS;
  }
}
