/**
 * The consensus core: a pure state machine without clock, disk or network.
 * Each input yields effects, which a driver executes in order.
 */
import {assertNever, type NodeId} from '@primrosewick/state';
import {isBehindSnapshot} from './catch_up.js';
import type {CompactableLog} from './compaction.js';
import {ConsensusContext, noEffects, type ConsensusOptions} from './context.js';
import {Election} from './election.js';
import {Follower} from './follower.js';
import {Leadership} from './leadership.js';
import {memberLags, type MemberLag} from './member_lag.js';
import type {
  ConsensusEffects,
  ConsensusInput,
  ConsensusMessage,
  ConsensusStatus,
  Envelope,
  LogSize,
  Members,
  DurableState,
} from './types.js';

/** One voter or learner of the replicated log. */
export class ConsensusCore<C> {
  private readonly context: ConsensusContext<C>;
  private readonly election: Election<C>;
  private readonly leadership: Leadership<C>;
  private readonly follower: Follower<C>;

  constructor(options: ConsensusOptions<C>) {
    this.context = new ConsensusContext(options);
    this.leadership = new Leadership(this.context);
    this.follower = new Follower(this.context);
    this.election = new Election(this.context, () =>
      this.leadership.becomeLeader(),
    );
  }

  /** Handles one input. */
  step(input: ConsensusInput<C>): ConsensusEffects<C> {
    const {context} = this;
    context.effects = noEffects();
    context.now = Math.max(context.now, input.now);
    this.handle(input);
    this.deliver();
    return context.effects;
  }

  /**
   * @returns the heartbeats that a leader owes at a monotonic time in ms, while
   *   its other inputs wait for a write.
   */
  takeHeartbeats(now: number): ReadonlyArray<Envelope<C>> {
    this.context.effects = noEffects();
    this.leadership.sendDueHeartbeats(now);
    return this.context.effects.messages;
  }

  /** Whether the node is the leader. */
  get isLeader(): boolean {
    return this.context.role === 'leader';
  }

  /**
   * Time at which a majority last confirmed the leadership, in ms. It is the
   * send time of the round, as a reply may have been queued for long.
   */
  get leadershipConfirmedAt(): number {
    return this.isLeader
      ? this.context.leadershipConfirmedAt()
      : Number.NEGATIVE_INFINITY;
  }

  /** Read-only view of the state. */
  get status(): ConsensusStatus {
    const {context} = this;
    const {id, role, term, leader, commitIndex, log, requiredIndex} = context;
    return {
      id,
      role,
      term,
      leader,
      commitIndex,
      lastIndex: log.lastIndex,
      members: log.members,
      isCurrent:
        requiredIndex !== null && commitIndex >= Math.max(1, requiredIndex),
      needsIndex: requiredIndex === null,
      commitNoticeAt: context.commitNoticeAt,
      lastContactAt:
        role === 'leader' ? context.quorumContactAt() : context.leaderContactAt,
      matches: [...context.progress].map(([node, {matchIndex}]) => ({
        node,
        index: matchIndex,
      })),
    };
  }

  /** How far the other members are behind; empty unless leader. */
  get lags(): readonly MemberLag[] {
    return memberLags(this.context);
  }

  /** Size of the log in memory, and of the snapshot before it. */
  get logSize(): LogSize {
    const {log} = this.context;
    return {
      entries: log.lastIndex - log.baseIndex,
      bytes: log.bytesBetween(log.baseIndex, log.lastIndex),
      snapshotIndex: log.baseIndex,
      snapshotBytes: log.snapshot?.data.length ?? 0,
    };
  }

  /** The delivered entries, which a snapshot would replace. */
  get compactable(): Omit<CompactableLog, 'fileBytes'> {
    const {log, deliveredIndex, commitIndex, progress} = this.context;
    return {
      entries: deliveredIndex - log.baseIndex,
      bytes: log.bytesBetween(log.baseIndex, deliveredIndex),
      snapshotBytes: log.snapshot?.data.length ?? 0,
      isLagging: [...progress.values()].some(
        ({matchIndex}) => matchIndex < commitIndex,
      ),
      isTransferring: this.isTransferring,
    };
  }

  private get isTransferring(): boolean {
    const {progress, now, timing} = this.context;
    return [...progress.values()].some(
      member =>
        isBehindSnapshot(this.context, member) &&
        member.snapshotOffset > 0 &&
        now < member.lastHeardAt + timing.electionMs,
    );
  }

  /** State that must be on disk. */
  get durable(): DurableState<C> {
    const {term, votedFor, log} = this.context;
    return {
      hardState: {term, votedFor},
      snapshot: log.snapshot,
      entries: log.slice(log.baseIndex + 1, log.lastIndex),
    };
  }

  private handle(input: ConsensusInput<C>): void {
    switch (input.kind) {
      case 'tick':
        return this.onTick();
      case 'message':
        return this.onMessage(input.envelope);
      case 'propose':
        return this.leadership.onPropose(
          input.token,
          {kind: 'command', command: input.command},
          input.isMore === true,
        );
      case 'change_members':
        return this.leadership.onChangeMembers(input.token, input.change);
      case 'read':
        return this.leadership.onRead(input.token);
      case 'transfer':
        return this.leadership.onTransfer();
      case 'leader_lost':
        return this.context.onLeaderDisconnected();
      case 'compact':
        return this.onCompact(input.index, input.data);
      case 'require':
        return this.context.requireIndex(input.index);
      default:
        return assertNever(input);
    }
  }

  private onTick(): void {
    const {context} = this;
    if (context.role === 'leader') return this.leadership.onLeaderTick();
    if (context.now < context.electionDeadline) return;
    context.resetElectionDeadline();
    if (context.isVoter(context.id)) this.election.campaign(true, false);
  }

  private onMessage({from, to, message}: Envelope<C>): void {
    if (to !== this.context.id) return;
    if (message.term > this.context.term && !this.keepsTerm(message)) {
      const leader = isFromLeader(message) ? from : null;
      this.context.becomeFollower(message.term, leader);
    }
    if (message.term < this.context.term)
      return this.onStaleMessage(from, message);
    this.dispatch(from, message);
  }

  private dispatch(from: NodeId, message: ConsensusMessage<C>): void {
    switch (message.kind) {
      case 'vote_request':
        return this.election.onVoteRequest(from, message);
      case 'vote_reply':
        return this.election.onVoteReply(from, message);
      case 'append':
        return this.follower.onAppend(from, message);
      case 'append_reply':
        return this.leadership.onAppendReply(from, message);
      case 'snapshot_chunk':
        return this.follower.onSnapshotChunk(from, message);
      case 'snapshot_reply':
        return this.leadership.onSnapshotReply(from, message);
      case 'transfer':
        return this.election.campaign(false, true);
      default:
        return assertNever(message);
    }
  }

  /** Whether the node keeps its own term on a message of a later term. */
  private keepsTerm(message: ConsensusMessage<C>): boolean {
    if (message.kind === 'vote_request') {
      return (
        message.isPreVote ||
        (!message.isTransfer && this.context.hasLiveLeader())
      );
    }
    return (
      message.kind === 'vote_reply' && message.isPreVote && message.isGranted
    );
  }

  /** Replies to a message of an older term with the current term. */
  private onStaleMessage(from: NodeId, message: ConsensusMessage<C>): void {
    if (message.kind === 'vote_request')
      return this.election.replyVote(from, message, false);
    if (isFromLeader(message))
      this.follower.replyAppend(from, false, this.context.log.lastIndex, 0);
  }

  private onCompact(index: number, data: Uint8Array): void {
    const term = this.context.log.termAt(index);
    if (
      term === undefined ||
      index <= this.context.log.baseIndex ||
      index > this.context.deliveredIndex
    )
      return;
    const snapshot = {
      index,
      term,
      members: this.context.log.membersAt(index),
      data,
    };
    this.context.log.compact(snapshot);
    for (const progress of this.context.progress.values()) {
      progress.snapshotOffset = 0;
      progress.chunkResendAt = Number.NEGATIVE_INFINITY;
    }
    this.context.effects.writes.push({kind: 'snapshot', snapshot});
  }

  private deliver(): void {
    while (this.context.deliveredIndex < this.context.commitIndex) {
      const entry = this.context.log.getEntry(this.context.deliveredIndex + 1);
      if (!entry) return;
      this.context.effects.deliveries.push({kind: 'entry', entry});
      this.context.deliveredIndex++;
    }
  }
}

/**
 * Initial state of a log with one voter.
 * @param founder - identity of that voter.
 */
export const singleVoterState = <C>(founder: NodeId): DurableState<C> => {
  const members: Members = {voters: [founder], learners: []};
  return {
    hardState: {term: 1, votedFor: null},
    snapshot: null,
    entries: [{term: 1, index: 1, body: {kind: 'members', members}}],
  };
};

/** State of a new data folder. */
export const emptyState = <C>(): DurableState<C> => ({
  hardState: {term: 0, votedFor: null},
  snapshot: null,
  entries: [],
});

const isFromLeader = <C>(message: ConsensusMessage<C>): boolean =>
  message.kind === 'append' || message.kind === 'snapshot_chunk';
