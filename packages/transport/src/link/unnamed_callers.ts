/**
 * Counts callers that have connected and not said who they are. Addresses the
 * load of peers that open streams and send frames that never end. Pure.
 */

/** Callers that are accepted before they say who they are. */
export interface UnnamedLimits {
  readonly perAddress: number;
  readonly total: number;
}

/** Callers that have not said who they are, by address. */
export class UnnamedCallers {
  private readonly counts = new Map<string, number>();
  private total = 0;

  constructor(private readonly limits: UnnamedLimits) {}

  /** Adds a caller; false, without adding it, where there are too many. */
  add(address: string): boolean {
    const count = this.counts.get(address) ?? 0;
    if (count >= this.limits.perAddress || this.total >= this.limits.total)
      return false;
    this.counts.set(address, count + 1);
    this.total++;
    return true;
  }

  /** Removes a caller that was added. */
  remove(address: string): void {
    const count = this.counts.get(address) ?? 0;
    if (count === 0) return;
    this.total--;
    if (count === 1) this.counts.delete(address);
    else this.counts.set(address, count - 1);
  }
}
