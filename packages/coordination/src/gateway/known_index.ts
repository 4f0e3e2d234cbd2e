/** Tracks the highest log index reported to a VM, and the highest one reported a while ago. */

/** Minimum age of a settled index, in ms; every index is settled by twice that age. */
const SETTLE_MS = 300;

/** Keeps two earlier values instead of a full history. */
export class KnownIndex {
  private latest = 0;
  /** Monotonic time at which the highest index was reported, in ms. */
  private latestAt = Number.NEGATIVE_INFINITY;
  private older = 0;
  private newer = 0;
  /** Monotonic time at which `newer` was the highest index, in ms. */
  private newerAt = Number.NEGATIVE_INFINITY;

  /** The highest index reported. */
  get highest(): number {
    return this.latest;
  }

  /** Records an index reported at a monotonic time in ms. */
  observe(index: number, now: number): void {
    this.advance(now);
    if (index <= this.latest) return;
    this.latest = index;
    this.latestAt = now;
  }

  /** The highest index that is settled at a monotonic time in ms. */
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
