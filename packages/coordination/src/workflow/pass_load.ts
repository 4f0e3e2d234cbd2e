/** Tells now and then how much of the leader's time the planner's passes take. */
import type Logger from 'bunyan';

/** Shortest time between two lines, in ms. */
const TELL_INTERVAL_MS = 2000;

/** One pass, as its cost is told. */
export interface ObservedPass {
  /** Monotonic time at its end, in ms. */
  readonly endedAt: number;
  readonly tookMs: number;
  readonly starts: number;
  readonly stops: number;
  /** Steps of which tasks wait. */
  readonly waits: number;
}

/** Sums up passes. */
export class PassLoad {
  private count = 0;
  private busyMs = 0;
  private longestMs = 0;
  private told: number;

  constructor(
    private readonly logger: Logger,
    now: number,
  ) {
    this.told = now;
  }

  /** Notes a pass. */
  note({endedAt, tookMs, starts, stops, waits}: ObservedPass): void {
    this.count++;
    this.busyMs += tookMs;
    this.longestMs = Math.max(this.longestMs, tookMs);
    if (endedAt < this.told + TELL_INTERVAL_MS) return;
    this.logger.info(
      {
        change: 'pass_load',
        passes: this.count,
        busyMs: Math.round(this.busyMs),
        overMs: Math.round(endedAt - this.told),
        longestMs: Math.round(this.longestMs),
        starts,
        stops,
        waits,
      },
      'time that passes of the planner took; counts are of the last one',
    );
    this.told = endedAt;
    this.count = 0;
    this.busyMs = 0;
    this.longestMs = 0;
  }
}
