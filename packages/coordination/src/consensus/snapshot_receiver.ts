import type {Members, Snapshot} from './types.js';

/** A received part of a snapshot. */
export interface SnapshotChunk {
  readonly index: number;
  readonly snapshotTerm: number;
  readonly members: Members;
  readonly offset: number;
  readonly chunk: Uint8Array;
  readonly isLast: boolean;
}

interface PartialSnapshot {
  readonly index: number;
  readonly term: number;
  readonly parts: Uint8Array[];
  length: number;
}

/** Assembles the chunks of one snapshot, in order. */
export class SnapshotReceiver {
  private partial: PartialSnapshot | null = null;

  /** Offset of the next byte needed of a snapshot. */
  nextOffset(index: number): number {
    return this.partial?.index === index ? this.partial.length : 0;
  }

  /** Drops the part of a snapshot up to an index that the log has reached without it. */
  dropUpTo(index: number): void {
    if (this.partial && this.partial.index <= index) this.partial = null;
  }

  /**
   * Adds a chunk; one that does not follow the last is dropped.
   * @returns the snapshot once it is complete.
   */
  addChunk(chunk: SnapshotChunk): Snapshot | undefined {
    const partial = this.partialFor(chunk);
    if (chunk.offset !== partial.length) return undefined;
    partial.parts.push(chunk.chunk);
    partial.length += chunk.chunk.length;
    if (!chunk.isLast) return undefined;
    this.partial = null;
    const {index, snapshotTerm: term, members} = chunk;
    return {
      index,
      term,
      members,
      data: joinBytes(partial.parts, partial.length),
    };
  }

  private partialFor(chunk: SnapshotChunk): PartialSnapshot {
    const isSame =
      this.partial?.index === chunk.index &&
      this.partial.term === chunk.snapshotTerm;
    if (this.partial && isSame) return this.partial;
    this.partial = {
      index: chunk.index,
      term: chunk.snapshotTerm,
      parts: [],
      length: 0,
    };
    return this.partial;
  }
}

const joinBytes = (
  parts: readonly Uint8Array[],
  length: number,
): Uint8Array => {
  const joined = new Uint8Array(length);
  let offset = 0;
  for (const part of parts) {
    joined.set(part, offset);
    offset += part.length;
  }
  return joined;
};
