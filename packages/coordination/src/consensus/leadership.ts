/** Leader role: replication, commitment, reads and membership changes. */
import type {NodeId} from '@primrosewick/state';
import {
  canSendMore,
  isBehindSnapshot,
  needsSeveralMessages,
  rewind,
} from './catch_up.js';
import type {ConsensusContext, MessageOf} from './context.js';
import {allMembers, applyChange} from './members.js';
import type {
  Entry,
  EntryBody,
  MemberChange,
  Progress,
  Snapshot,
} from './types.js';

/** Part of the core that is active while the node leads. */
export class Leadership<C> {
  constructor(private readonly context: ConsensusContext<C>) {}

  /** Becomes the leader of the current term. */
  becomeLeader(): void {
    this.context.role = 'leader';
    this.context.leader = this.context.id;
    this.context.quorumDeadline =
      this.context.now + this.context.timing.electionMs;
    this.context.commitNoticeAt = Number.POSITIVE_INFINITY;
    this.context.progress.clear();
    this.context.roundTimes.clear();
    this.trackMembers();
    this.context.quorumSilence.start(this.context.now);
    this.appendEntry({kind: 'noop'});
    this.broadcast();
  }

  /** Sends heartbeats; steps down if it has lost contact with a quorum. */
  onLeaderTick(): void {
    const {now, timing, quorumSilence} = this.context;
    quorumSilence.note(now, this.context.quorumContactAt());
    if (
      now >= this.context.quorumDeadline &&
      quorumSilence.lengthMs >= timing.electionMs
    ) {
      return this.context.becomeFollower(this.context.term, null);
    }
    if (now >= this.context.quorumDeadline)
      this.context.quorumDeadline = now + timing.electionMs;
    if (now >= this.context.heartbeatDeadline) this.broadcast();
    if (now >= this.context.commitNoticeAt) this.sendCommitNotices();
  }

  /**
   * Sends the heartbeats that are due at a monotonic time in ms, with the commit
   * index, as they make a follower's copy count as fresh. The time of the core
   * stays that of the inputs handled so far, since replies that wait would count
   * as heard later than they were.
   */
  sendDueHeartbeats(now: number): void {
    const {context} = this;
    if (context.role !== 'leader' || now < context.heartbeatDeadline) return;
    context.heartbeatDeadline = now + context.timing.heartbeatMs;
    context.round++;
    context.roundTimes.record(context.round, now);
    for (const [node, progress] of context.progress)
      this.sendAppend(node, progress);
  }

  /** Handles a proposal: appends its entry and replies to its token. */
  onPropose(token: number, body: EntryBody<C>, isMore = false): void {
    if (this.context.role !== 'leader')
      return this.context.refuse(token, 'not_leader');
    if (this.hasTooManyUncommitted) {
      this.context.refuse(token, 'overloaded');
      if (!isMore) this.replicate();
      return;
    }
    const index = this.appendEntry(body);
    this.context.effects.answers.push({
      kind: 'appended',
      token,
      index,
      term: this.context.term,
    });
    if (!isMore) this.replicate();
  }

  private get hasTooManyUncommitted(): boolean {
    const {log, commitIndex, timing} = this.context;
    return (
      log.lastIndex - commitIndex >= timing.maxUncommitted ||
      log.bytesBetween(commitIndex, log.lastIndex) >= timing.maxUncommittedBytes
    );
  }

  /** Handles a membership change: appends the new members. */
  onChangeMembers(token: number, change: MemberChange): void {
    if (this.context.role !== 'leader')
      return this.context.refuse(token, 'not_leader');
    const hasCommitInTerm =
      this.context.log.termAt(this.context.commitIndex) === this.context.term;
    const isPending = this.context.log.membersIndex > this.context.commitIndex;
    if (isPending || !hasCommitInTerm)
      return this.context.refuse(token, 'change_pending');
    const members = applyChange(this.context.log.members, change);
    this.onPropose(token, {kind: 'members', members});
  }

  private appendEntry(body: EntryBody<C>): number {
    const entry = {
      term: this.context.term,
      index: this.context.log.lastIndex + 1,
      body,
    };
    this.context.log.append([entry]);
    this.context.effects.writes.push({kind: 'append', entries: [entry]});
    if (body.kind === 'members') this.trackMembers();
    this.advanceCommit();
    return entry.index;
  }

  private trackMembers(): void {
    const others = allMembers(this.context.log.members).filter(
      node => node !== this.context.id,
    );
    for (const node of this.context.progress.keys()) {
      if (!others.includes(node)) this.context.progress.delete(node);
    }
    for (const node of others) {
      if (!this.context.progress.has(node))
        this.context.progress.set(node, this.newProgress());
    }
  }

  private newProgress(): Progress {
    return {
      nextIndex: this.context.log.lastIndex + 1,
      matchIndex: 0,
      sentCommit: 0,
      lastHeardAt: this.context.now,
      lastRound: 0,
      snapshotOffset: 0,
      chunkResendAt: Number.NEGATIVE_INFINITY,
      rewindRound: 0,
      isCatchingUp: false,
    };
  }

  /** Starts a heartbeat round: sends every member an append, with any entries due. */
  private broadcast(): void {
    this.context.heartbeatDeadline =
      this.context.now + this.context.timing.heartbeatMs;
    this.startRound();
    for (const [node, progress] of this.context.progress)
      this.sendAppend(node, progress);
    this.answerReads();
  }

  private startRound(): void {
    this.context.round++;
    this.context.roundTimes.record(this.context.round, this.context.now);
  }

  /** Sends new entries to the members that may be sent more. */
  private replicate(): void {
    for (const [node, progress] of this.context.progress)
      this.sendEntries(node, progress);
  }

  /** Sends a member as many entries as it may be sent now. */
  private sendEntries(node: NodeId, progress: Progress): void {
    while (canSendMore(this.context, progress)) this.sendAppend(node, progress);
  }

  private sendAppend(node: NodeId, progress: Progress): void {
    const snapshot = this.context.log.snapshot;
    if (snapshot && progress.nextIndex <= snapshot.index) {
      return this.context.now < progress.chunkResendAt
        ? this.sendHeartbeat(node)
        : this.sendChunk(node, progress, snapshot);
    }
    const prevIndex = progress.nextIndex - 1;
    const entries = this.nextEntries(progress);
    progress.nextIndex += entries.length;
    progress.sentCommit = this.context.commitIndex;
    this.context.send(node, {
      kind: 'append',
      term: this.context.term,
      prevIndex,
      prevTerm: this.context.log.termAt(prevIndex) ?? 0,
      entries,
      commitIndex: this.context.commitIndex,
      round: this.context.round,
    });
  }

  private nextEntries(progress: Progress): ReadonlyArray<Entry<C>> {
    const {log, timing} = this.context;
    if (!canSendMore(this.context, progress)) return [];
    return log.sliceWithin(progress.nextIndex, {
      entries: timing.maxEntriesPerMessage,
      bytes: timing.maxBytesPerMessage,
    });
  }

  /** Keeps a node following, without sending it anything of the log. */
  private sendHeartbeat(node: NodeId): void {
    this.context.send(node, {
      kind: 'append',
      term: this.context.term,
      prevIndex: 0,
      prevTerm: 0,
      entries: [],
      commitIndex: 0,
      round: this.context.round,
    });
  }

  /** Handles the reply to an append. */
  onAppendReply(from: NodeId, message: MessageOf<C, 'append_reply'>): void {
    const progress = this.recordReply(from, message.round);
    if (!progress) return;
    if (!message.isAccepted) return this.onRejection(from, progress, message);
    progress.matchIndex = Math.max(progress.matchIndex, message.index);
    progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
    progress.isCatchingUp &&= needsSeveralMessages(this.context, progress);
    const before = this.context.commitIndex;
    this.advanceCommit();
    if (this.context.commitIndex > before) this.scheduleCommitNotice();
    this.sendEntries(from, progress);
  }

  /** Rewinds the progress of a member; rejections that precede the last rewind are ignored. */
  private onRejection(
    node: NodeId,
    progress: Progress,
    {index, round}: MessageOf<C, 'append_reply'>,
  ): void {
    if (round < progress.rewindRound) return;
    this.startRound();
    rewind(this.context, progress, index, this.context.round);
    this.sendAppend(node, progress);
  }

  private recordReply(from: NodeId, round: number): Progress | undefined {
    const progress =
      this.context.role === 'leader'
        ? this.context.progress.get(from)
        : undefined;
    if (!progress) return undefined;
    progress.lastHeardAt = this.context.now;
    progress.lastRound = Math.max(progress.lastRound, round);
    this.answerReads();
    return progress;
  }

  private scheduleCommitNotice(): void {
    const {context} = this;
    context.commitNoticeAt = Math.min(
      context.commitNoticeAt,
      context.now + context.timing.commitNoticeMs,
    );
  }

  /** Sends the commit index to the followers that have not received it with entries. */
  private sendCommitNotices(): void {
    const {progress, commitIndex} = this.context;
    this.context.commitNoticeAt = Number.POSITIVE_INFINITY;
    for (const [node, memberProgress] of progress)
      if (
        !isBehindSnapshot(this.context, memberProgress) &&
        memberProgress.sentCommit < commitIndex
      )
        this.sendAppend(node, memberProgress);
  }

  private advanceCommit(): void {
    if (this.context.role !== 'leader') return;
    const index = this.context.quorumValue(
      this.context.log.lastIndex,
      progress => progress.matchIndex,
    );
    if (
      index <= this.context.commitIndex ||
      this.context.log.termAt(index) !== this.context.term
    )
      return;
    this.context.commitIndex = index;
    // A leader has every entry that was committed before its own first entry.
    this.context.requireIndex(index);
    const isRemoved =
      !this.context.isVoter(this.context.id) &&
      index >= this.context.log.membersIndex;
    if (isRemoved) this.context.becomeFollower(this.context.term, null);
  }

  /** Starts a linearizable read: it is ready once a quorum acknowledges a new round. */
  onRead(token: number): void {
    const hasCommitInTerm =
      this.context.log.termAt(this.context.commitIndex) === this.context.term;
    if (this.context.role !== 'leader' || !hasCommitInTerm)
      return this.context.refuse(token, 'not_leader');
    this.context.pendingReads.push({
      token,
      index: this.context.commitIndex,
      round: this.context.round + 1,
    });
    this.broadcast();
  }

  private answerReads(): void {
    const round = this.context.quorumValue(
      this.context.round,
      progress => progress.lastRound,
    );
    const ready = this.context.pendingReads.filter(read => read.round <= round);
    this.context.pendingReads = this.context.pendingReads.filter(
      read => read.round > round,
    );
    for (const {token, index} of ready) {
      this.context.effects.answers.push({kind: 'read_ready', token, index});
    }
  }

  /** Asks the reachable voter with the most complete log to take over. */
  onTransfer(): void {
    if (this.context.role !== 'leader') return;
    const {now, timing, log, progress} = this.context;
    const candidates = log.members.voters.filter(
      node => now < (progress.get(node)?.lastHeardAt ?? 0) + timing.electionMs,
    );
    candidates.sort((a, b) => this.matchOf(b) - this.matchOf(a));
    const [best] = candidates;
    if (best)
      this.context.send(best, {kind: 'transfer', term: this.context.term});
  }

  private matchOf(node: NodeId): number {
    return this.context.progress.get(node)?.matchIndex ?? 0;
  }

  private sendChunk(
    node: NodeId,
    progress: Progress,
    snapshot: Snapshot,
  ): void {
    const offset = Math.min(progress.snapshotOffset, snapshot.data.length);
    progress.chunkResendAt = this.context.now + this.context.timing.electionMs;
    const end = Math.min(
      offset + this.context.timing.chunkBytes,
      snapshot.data.length,
    );
    this.context.send(node, {
      kind: 'snapshot_chunk',
      term: this.context.term,
      index: snapshot.index,
      snapshotTerm: snapshot.term,
      members: snapshot.members,
      offset,
      chunk: snapshot.data.subarray(offset, end),
      isLast: end === snapshot.data.length,
      round: this.context.round,
    });
  }

  /** Handles the reply to a snapshot chunk: sends the next one. */
  onSnapshotReply(from: NodeId, message: MessageOf<C, 'snapshot_reply'>): void {
    const progress = this.recordReply(from, message.round);
    if (!progress || message.index !== this.context.log.baseIndex) return;
    if (progress.nextIndex > this.context.log.baseIndex) return;
    if (progress.snapshotOffset !== message.nextOffset)
      progress.chunkResendAt = Number.NEGATIVE_INFINITY;
    progress.snapshotOffset = message.nextOffset;
    this.sendAppend(from, progress);
  }
}
