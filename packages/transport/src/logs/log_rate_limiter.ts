/**
 * Limits the rate of one kind of log line, so that frequent faults are not made
 * worse by logging them.
 */

/** Allows a fixed number of lines per time window. */
export class LogRateLimiter {
  private windowEnd = Number.NEGATIVE_INFINITY;
  private left = 0;
  private skipped = 0;

  constructor(
    private readonly lines: number,
    private readonly windowMs: number,
  ) {}

  /**
   * Requests a line at a monotonic time in ms.
   * @returns the number of lines skipped since the last allowed one, or null if
   *   this line is to be skipped.
   */
  take(now: number): {readonly skipped: number} | null {
    if (now >= this.windowEnd) {
      this.windowEnd = now + this.windowMs;
      this.left = this.lines;
    }
    if (this.left === 0) {
      this.skipped++;
      return null;
    }
    this.left--;
    const {skipped} = this;
    this.skipped = 0;
    return {skipped};
  }
}
