/** Indexes of the log that a VM was told of: the highest now, and the highest a while ago. */

/** Age from which an index counts as settled, in ms; each is by twice that age. */
const SETTLE_MS = 300;

/** Keeps two marks, so that what was known a while ago costs no history. */
export class KnownIndex {
  private latest = 0;
  /** Monotonic time at which the highest was told, in ms. */
  private latestAt = Number.NEGATIVE_INFINITY;
  private older = 0;
  private newer = 0;
  /** Monotonic time at which `newer` was the highest, in ms. */
  private newerAt = Number.NEGATIVE_INFINITY;

  /** The highest index that was told. */
  get highest(): number {
    return this.latest;
  }

  /** Notes an index that was told at a monotonic time, in ms. */
  observe(index: number, now: number): void {
    this.advance(now);
    if (index <= this.latest) return;
    this.latest = index;
    this.latestAt = now;
  }

  /** The highest index that was told before the settling time, at a monotonic time in ms. */
  settledAt(now: number): number {
    this.advance(now);
    return this.older;
  }

  private advance(now: number): void {
    if (now >= this.latestAt + SETTLE_MS) this.newer = this.latest;
    else if (now < this.newerAt + SETTLE_MS) return;
    this.older = this.newer;
    this.newer = this.latest;
    this.newerAt = now;
  }
}
