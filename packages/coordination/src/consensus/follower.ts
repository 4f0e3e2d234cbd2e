/** Follower role: replication of entries and snapshots from the leader. */
import type {NodeId} from '@primrosewick/state';
import type {ConsensusContext, MessageOf} from './context.js';
import {SnapshotReceiver} from './snapshot_receiver.js';
import type {Snapshot} from './types.js';

/** Part of the core that follows a leader. */
export class Follower<C> {
  private readonly receiver = new SnapshotReceiver();

  constructor(private readonly context: ConsensusContext<C>) {}

  /** Handles an append: stores its entries, or replies with the index to retry from. */
  onAppend(from: NodeId, message: MessageOf<C, 'append'>): void {
    this.followLeader(from);
    const {prevIndex, entries, round} = message;
    if (prevIndex < this.context.commitIndex)
      return this.onOverlappingAppend(from, message);
    if (this.context.log.termAt(prevIndex) !== message.prevTerm) {
      return this.replyAppend(from, false, this.retryIndex(prevIndex), round);
    }
    this.appendMissing(entries);
    const matchIndex = prevIndex + entries.length;
    this.advanceCommit(Math.min(message.commitIndex, matchIndex));
    this.replyAppend(from, true, matchIndex, round);
  }

  /** Handles an append that starts below the commit index: skips the committed entries. */
  private onOverlappingAppend(
    from: NodeId,
    message: MessageOf<C, 'append'>,
  ): void {
    const entries = message.entries.filter(
      entry => entry.index > this.context.commitIndex,
    );
    const isAdjacent = entries[0]?.index === this.context.commitIndex + 1;
    if (!isAdjacent)
      return this.replyAppend(
        from,
        true,
        this.context.commitIndex,
        message.round,
      );
    this.onAppend(from, {
      ...message,
      prevIndex: this.context.commitIndex,
      prevTerm: this.context.log.termAt(this.context.commitIndex) ?? 0,
      entries,
    });
  }

  private retryIndex(prevIndex: number): number {
    if (prevIndex > this.context.log.lastIndex)
      return this.context.log.lastIndex + 1;
    return Math.max(
      this.context.log.firstIndexOfTerm(prevIndex),
      this.context.commitIndex + 1,
    );
  }

  private appendMissing(entries: MessageOf<C, 'append'>['entries']): void {
    const missing = entries.filter(
      entry => this.context.log.termAt(entry.index) !== entry.term,
    );
    const [first] = missing;
    if (!first) return;
    if (first.index <= this.context.log.lastIndex) this.truncate(first.index);
    const added = entries.filter(entry => entry.index >= first.index);
    this.context.log.append(added);
    this.context.effects.writes.push({kind: 'append', entries: added});
  }

  private truncate(fromIndex: number): void {
    this.context.log.truncate(fromIndex);
    this.context.onEntriesDropped(fromIndex);
    this.context.effects.writes.push({kind: 'truncate', fromIndex});
  }

  private advanceCommit(index: number): void {
    this.context.commitIndex = Math.max(this.context.commitIndex, index);
    this.receiver.dropUpTo(this.context.commitIndex);
  }

  private followLeader(leader: NodeId): void {
    if (this.context.role !== 'follower')
      this.context.becomeFollower(this.context.term, leader);
    this.context.noteLeader(leader);
  }

  /** Replies to an append. */
  replyAppend(
    to: NodeId,
    isAccepted: boolean,
    index: number,
    round: number,
  ): void {
    this.context.send(to, {
      kind: 'append_reply',
      term: this.context.term,
      isAccepted,
      index,
      round,
    });
  }

  /** Handles a chunk of a snapshot. */
  onSnapshotChunk(from: NodeId, message: MessageOf<C, 'snapshot_chunk'>): void {
    this.followLeader(from);
    const {index, round} = message;
    if (index <= this.context.commitIndex)
      return this.replyAppend(from, true, this.context.commitIndex, round);
    const snapshot = this.receiver.addChunk(message);
    if (!snapshot) {
      const nextOffset = this.receiver.nextOffset(index);
      return this.context.send(from, {
        kind: 'snapshot_reply',
        term: this.context.term,
        index,
        nextOffset,
        round,
      });
    }
    this.install(snapshot);
    this.replyAppend(from, true, index, round);
  }

  private install(snapshot: Snapshot): void {
    this.context.log.compact(snapshot);
    this.context.effects.writes.push({kind: 'snapshot', snapshot});
    this.context.effects.deliveries.push({kind: 'snapshot', snapshot});
    this.context.commitIndex = snapshot.index;
    this.context.deliveredIndex = snapshot.index;
    this.context.onEntriesDropped(this.context.log.lastIndex + 1);
  }
}
