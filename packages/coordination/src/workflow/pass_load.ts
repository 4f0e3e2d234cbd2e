/** Periodically logs how much of the leader's time the planner passes take. */
import type Logger from 'bunyan';

/** Minimum time between two log lines, in ms. */
const LOG_INTERVAL_MS = 2000;

/** Cost and decisions of one pass. */
export interface ObservedPass {
  /** Monotonic time of its end, in ms. */
  readonly endedAt: number;
  readonly tookMs: number;
  readonly starts: number;
  readonly stops: number;
  /** Steps with waiting tasks. */
  readonly waits: number;
}

/** Aggregates the cost of passes. */
export class PassLoad {
  private count = 0;
  private busyMs = 0;
  private longestMs = 0;
  private lastLoggedAt: number;

  constructor(
    private readonly logger: Logger,
    now: number,
  ) {
    this.lastLoggedAt = now;
  }

  /** Notes a pass. */
  note({endedAt, tookMs, starts, stops, waits}: ObservedPass): void {
    this.count++;
    this.busyMs += tookMs;
    this.longestMs = Math.max(this.longestMs, tookMs);
    if (endedAt < this.lastLoggedAt + LOG_INTERVAL_MS) return;
    this.logger.info(
      {
        change: 'pass_load',
        passes: this.count,
        busyMs: Math.round(this.busyMs),
        overMs: Math.round(endedAt - this.lastLoggedAt),
        longestMs: Math.round(this.longestMs),
        starts,
        stops,
        waits,
      },
      'time taken by planner passes; starts, stops and waits are those of the last pass',
    );
    this.lastLoggedAt = endedAt;
    this.count = 0;
    this.busyMs = 0;
    this.longestMs = 0;
  }
}
