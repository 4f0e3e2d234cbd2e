/** Estimates a worker's own clock from the answers that carry it. */

/** A worker's clock may be this much slower than ours. */
const MAX_DRIFT = 0.02;
/** Slack on top of the drift, in ms. */
const LAPSE_MARGIN_MS = 150;

/** Options of the clock of a worker that was led by others before. */
export interface WorkerClockOptions {
  /** Longest lease that a worker takes, in ms. */
  readonly maxLeaseMs: number;
  /** Monotonic time until which an earlier leader may have extended the lease, in ms. */
  readonly previousLeaderUntil: number;
}

/** What is known of one worker's clock and lease. */
export class WorkerClock {
  private sample: {readonly at: number; readonly clockMs: number} | undefined;
  /** Highest end of a lease sent by us, on the worker's clock, in ms. */
  private leaseEnd = Number.NEGATIVE_INFINITY;
  /** Monotonic time by which a lease of unknown end has lapsed, in ms. */
  private unknownLeaseLapseAt: number;

  constructor(private readonly options: WorkerClockOptions) {
    this.unknownLeaseLapseAt = this.lapseAfter(
      options.previousLeaderUntil,
      options.maxLeaseMs,
    );
  }

  /** Takes the clock out of an answer that arrived at a monotonic time. */
  note(now: number, clockMs: number): void {
    this.sample = {at: now, clockMs};
  }

  /** Whether the clock was ever told. */
  get isKnown(): boolean {
    return this.sample !== undefined;
  }

  /**
   * End of a lease that is to last for some time from now on.
   * @returns undefined while the worker's clock is not known.
   */
  leaseFor(now: number, leaseMs: number): number | undefined {
    if (!this.sample) return undefined;
    const {at, clockMs} = this.sample;
    const end = Math.floor(clockMs + (now - at) + leaseMs);
    this.leaseEnd = Math.max(this.leaseEnd, end);
    return end;
  }

  /** Monotonic time by which every lease given so far has lapsed, in ms. */
  get lapseAt(): number {
    if (!this.sample) return this.unknownLeaseLapseAt;
    const {at, clockMs} = this.sample;
    const own = this.lapseAfter(at, this.leaseEnd - clockMs);
    return Math.max(own, this.unknownLeaseLapseAt);
  }

  /** Once a worker obeys only us, what others promised it no longer counts up to now. */
  noteSoleLeader(now: number): void {
    this.unknownLeaseLapseAt = this.lapseAfter(now, this.options.maxLeaseMs);
  }

  private lapseAfter(now: number, leaseMs: number): number {
    return now + Math.max(0, leaseMs) / (1 - MAX_DRIFT) + LAPSE_MARGIN_MS;
  }
}
