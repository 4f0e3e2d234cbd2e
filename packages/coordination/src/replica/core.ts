/** Replica of the cell state on one VM, with the latest entries kept for followers. */
import {
  CellState,
  type CellImage,
  type CellLimits,
  type CellResult,
} from '@primrosewick/state';
import type {FollowEntry, FollowReply} from '@primrosewick/protocol';

/** Number of entries kept for VMs that follow this one. */
const MAX_TAIL_ENTRIES = 2000;
/** Maximum number of entries in one reply. */
const MAX_REPLY_ENTRIES = 500;

/** Replica of the cell state; its index never decreases. */
export class Replica {
  readonly state: CellState;
  private tail: FollowEntry[] = [];

  constructor(limits: Partial<CellLimits> = {}) {
    this.state = new CellState(limits);
  }

  /** Log index of the replica. */
  get index(): number {
    return this.state.index;
  }

  /**
   * Applies one entry.
   * @param entry - the entry that follows the last one; older ones are ignored.
   * @returns the result of its command, or undefined if there is none.
   */
  apply(entry: FollowEntry): CellResult | undefined {
    if (entry.index <= this.index) return undefined;
    if (entry.index !== this.index + 1)
      throw new Error(`entry ${entry.index} does not follow ${this.index}`);
    this.keep(entry);
    if (entry.command) return this.state.apply(entry.index, entry.command);
    this.state.skip(entry.index);
    return undefined;
  }

  /** Replaces the state by an image, unless the replica is at least as recent. */
  restore(image: CellImage): boolean {
    if (image.index <= this.index) return false;
    this.state.restore(image);
    this.tail = [];
    return true;
  }

  /**
   * Makes a reply with what follows an index, for a VM with the state up to there.
   * @param staleMs - age of the last proof that this replica is current, in ms.
   */
  makeFollowReply(sinceIndex: number, staleMs: number): FollowReply {
    const commitIndex = this.index;
    if (sinceIndex >= commitIndex)
      return {kind: 'entries', entries: [], commitIndex, staleMs};
    const firstKept = this.tail[0]?.index ?? Number.POSITIVE_INFINITY;
    if (sinceIndex + 1 < firstKept)
      return {kind: 'image', image: this.state.toImage(), commitIndex, staleMs};
    const from = sinceIndex + 1 - firstKept;
    return {
      kind: 'entries',
      entries: this.tail.slice(from, from + MAX_REPLY_ENTRIES),
      commitIndex,
      staleMs,
    };
  }

  private keep(entry: FollowEntry): void {
    this.tail.push(entry);
    if (this.tail.length > 2 * MAX_TAIL_ENTRIES)
      this.tail = this.tail.slice(-MAX_TAIL_ENTRIES);
  }
}
