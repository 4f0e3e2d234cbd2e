/** Indexes of the log that a VM was told of: the highest now, and the highest a while ago. */

/** Age from which an index counts as settled, in ms; it is noted at most twice as old. */
const SETTLE_MS = 300;

/** Keeps two marks, so that what was known a while ago costs no history. */
export class KnownIndex {
  private latest = 0;
  private older = 0;
  private newer = 0;
  /** Monotonic time at which `newer` was the highest, in ms. */
  private newerAt = Number.NEGATIVE_INFINITY;

  /** The highest index that was told. */
  get highest(): number {
    return this.latest;
  }

  /** Notes an index that was told at a monotonic time, in ms. */
  note(index: number, now: number): void {
    this.advance(now);
    this.latest = Math.max(this.latest, index);
  }

  /** The highest index that was told before the settling time, at a monotonic time in ms. */
  settledAt(now: number): number {
    this.advance(now);
    return this.older;
  }

  private advance(now: number): void {
    if (now < this.newerAt + SETTLE_MS) return;
    this.older = this.newer;
    this.newer = this.latest;
    this.newerAt = now;
  }
}
