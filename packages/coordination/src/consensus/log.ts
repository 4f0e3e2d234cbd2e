import {estimateEntryBytes} from './entry_size.js';
import {NO_MEMBERS} from './members.js';
import type {Entry, Members, Snapshot} from './types.js';

/** Members that took effect at an index. */
interface MembersAt {
  readonly index: number;
  readonly members: Members;
}

/** Log entries in memory, after an optional snapshot. */
export class ConsensusLog<C> {
  private entries: Array<Entry<C>>;
  /** For each entry, the bytes of all entries up to and including it. */
  private endBytes: number[] = [];
  /** Bytes of the entries that snapshots have replaced. */
  private droppedBytes = 0;
  private memberHistory: MembersAt[] = [];

  constructor(
    private base: Snapshot | null,
    entries: ReadonlyArray<Entry<C>>,
  ) {
    this.entries = entries.filter(entry => entry.index > this.baseIndex);
    for (const entry of this.entries) this.recordSize(entry);
    this.rebuildMemberHistory();
  }

  /** Snapshot that precedes the entries, or null. */
  get snapshot(): Snapshot | null {
    return this.base;
  }

  /** Index of the snapshot, or 0. */
  get baseIndex(): number {
    return this.base?.index ?? 0;
  }

  /** Index of the last entry. */
  get lastIndex(): number {
    return this.baseIndex + this.entries.length;
  }

  /** Term of the last entry. */
  get lastTerm(): number {
    return this.termAt(this.lastIndex) ?? 0;
  }

  /** Members in effect: those of the latest members entry, committed or not. */
  get members(): Members {
    return this.memberHistory.at(-1)?.members ?? NO_MEMBERS;
  }

  /** Index of the entry with the members in effect. */
  get membersIndex(): number {
    return this.memberHistory.at(-1)?.index ?? 0;
  }

  /** @returns the members in effect at an index. */
  membersAt(index: number): Members {
    const known = this.memberHistory.filter(at => at.index <= index);
    return known.at(-1)?.members ?? NO_MEMBERS;
  }

  /** @returns the term of an entry, or undefined if it is not in the log. */
  termAt(index: number): number | undefined {
    if (index === 0) return 0;
    if (index === this.baseIndex) return this.base?.term;
    return this.getEntry(index)?.term;
  }

  /** @returns the entry at an index, or undefined if it is not in the log. */
  getEntry(index: number): Entry<C> | undefined {
    return this.entries[index - this.baseIndex - 1];
  }

  /** @returns at most `count` entries, starting at an index. */
  slice(fromIndex: number, count: number): Array<Entry<C>> {
    const start = fromIndex - this.baseIndex - 1;
    return this.entries.slice(Math.max(0, start), start + count);
  }

  /**
   * @returns the entries from an index on that fit within both bounds, and at
   *   least one, if there is any.
   */
  sliceWithin(
    fromIndex: number,
    {entries, bytes}: {readonly entries: number; readonly bytes: number},
  ): Array<Entry<C>> {
    const start = Math.max(0, fromIndex - this.baseIndex - 1);
    const maxEnd = Math.min(start + entries, this.entries.length);
    const maxBytes = this.bytesUpTo(this.baseIndex + start) + bytes;
    let end = Math.min(start + 1, maxEnd);
    while (end < maxEnd && this.endBytes[end]! <= maxBytes) end++;
    return this.entries.slice(start, end);
  }

  /** Approximate bytes of the entries after an index, up to and including another. */
  bytesBetween(afterIndex: number, lastIndex: number): number {
    return Math.max(0, this.bytesUpTo(lastIndex) - this.bytesUpTo(afterIndex));
  }

  private bytesUpTo(index: number): number {
    const at = Math.min(index - this.baseIndex, this.endBytes.length) - 1;
    return this.endBytes[at] ?? this.droppedBytes;
  }

  /** Appends entries that follow the last one. */
  append(entries: ReadonlyArray<Entry<C>>): void {
    for (const entry of entries) {
      this.entries.push(entry);
      this.recordSize(entry);
      this.recordMembers(entry);
    }
  }

  /** Removes the entries from an index on. */
  truncate(fromIndex: number): void {
    this.entries.length = fromIndex - this.baseIndex - 1;
    this.endBytes.length = this.entries.length;
    this.rebuildMemberHistory();
  }

  /** Replaces the entries up to the snapshot's index by the snapshot. */
  compact(snapshot: Snapshot): void {
    const keepsTail = this.termAt(snapshot.index) === snapshot.term;
    const dropped = keepsTail
      ? snapshot.index - this.baseIndex
      : this.entries.length;
    this.droppedBytes = this.endBytes[dropped - 1] ?? this.droppedBytes;
    this.entries = this.entries.slice(dropped);
    this.endBytes = this.endBytes.slice(dropped);
    this.base = snapshot;
    this.rebuildMemberHistory();
  }

  /** Whether a log with this last entry is at least as complete as this log. */
  isCoveredBy(lastIndex: number, lastTerm: number): boolean {
    if (lastTerm !== this.lastTerm) return lastTerm > this.lastTerm;
    return lastIndex >= this.lastIndex;
  }

  /** First index of the run of entries that share the term at an index. */
  firstIndexOfTerm(index: number): number {
    const term = this.termAt(index);
    let first = index;
    while (first - 1 > this.baseIndex && this.termAt(first - 1) === term)
      first--;
    return first;
  }

  private recordSize(entry: Entry<C>): void {
    const before = this.endBytes.at(-1) ?? this.droppedBytes;
    this.endBytes.push(before + estimateEntryBytes(entry));
  }

  private recordMembers(entry: Entry<C>): void {
    if (entry.body.kind !== 'members') return;
    this.memberHistory.push({index: entry.index, members: entry.body.members});
  }

  private rebuildMemberHistory(): void {
    this.memberHistory = [];
    if (this.base) {
      this.memberHistory.push({
        index: this.base.index,
        members: this.base.members,
      });
    }
    for (const entry of this.entries) this.recordMembers(entry);
  }
}
