/** Bounds lines of one kind, so that what goes wrong often does not cost more by its lines. */

/** Lets a number of lines through in each window of time. */
export class LogRateLimiter {
  private windowEnd = Number.NEGATIVE_INFINITY;
  private left = 0;
  private skipped = 0;

  constructor(
    private readonly lines: number,
    private readonly windowMs: number,
  ) {}

  /**
   * Asks for a line at a monotonic time in ms.
   * @returns how many were left out since the last line, or null when this one is.
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
