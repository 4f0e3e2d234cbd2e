import type {NodeId, Random} from '@primrosewick/state';
import {ConsensusLog} from './log.js';
import {majorityOf} from './members.js';
import {QuorumSilence} from './quorum_silence.js';
import {RoundTimes} from './round_times.js';
import {
  DEFAULT_CONSENSUS_TIMING,
  type ConsensusEffects,
  type ConsensusMessage,
  type ConsensusTiming,
  type Progress,
  type DurableState,
  type Role,
} from './types.js';

/** Options of the core. */
export interface ConsensusOptions<C> {
  readonly id: NodeId;
  readonly restored: DurableState<C>;
  readonly random: Random;
  /** Monotonic time at the start, in ms. */
  readonly now: number;
  readonly timing?: Partial<ConsensusTiming>;
}

/** A message of one kind. */
export type MessageOf<C, K extends ConsensusMessage<C>['kind']> = Extract<
  ConsensusMessage<C>,
  {kind: K}
>;

/** A read that waits for a quorum to acknowledge a heartbeat round. */
export interface PendingRead {
  readonly token: number;
  readonly index: number;
  readonly round: number;
}

/** Reason for which a proposal, membership change or read is rejected. */
export type RefusalReason = 'not_leader' | 'change_pending' | 'overloaded';

/** Empty effects. */
export const noEffects = <C>(): ConsensusEffects<C> => ({
  writes: [],
  messages: [],
  deliveries: [],
  answers: [],
});

/** State shared by the parts of the consensus core. */
export class ConsensusContext<C> {
  readonly id: NodeId;
  readonly timing: ConsensusTiming;
  readonly log: ConsensusLog<C>;
  readonly votes = new Set<NodeId>();
  readonly progress = new Map<NodeId, Progress>();
  term: number;
  votedFor: NodeId | null;
  role: Role = 'follower';
  leader: NodeId | null = null;
  now: number;
  commitIndex: number;
  deliveredIndex: number;
  /**
   * Index that the state must reach before it is served, as later states may
   * have been served before the restart; null while unknown.
   */
  requiredIndex: number | null;
  /** Whether a leader reported the required index, so that it is committed. */
  isRequiredByLeader = false;
  electionDeadline = 0;
  heartbeatDeadline = 0;
  quorumDeadline = 0;
  readonly quorumSilence: QuorumSilence;
  /** Time at which a commit index that followers may lack is sent to them. */
  commitNoticeAt = Number.POSITIVE_INFINITY;
  leaderContactAt = Number.NEGATIVE_INFINITY;
  /** Whether no leader has been followed yet, or the connection from it broke. */
  isLeaderMissing = true;
  pendingReads: PendingRead[] = [];
  /** Number of the last heartbeat round. */
  round = 0;
  readonly roundTimes = new RoundTimes();
  effects: ConsensusEffects<C> = noEffects();
  private readonly random: Random;

  constructor(options: ConsensusOptions<C>) {
    const {hardState, snapshot, entries} = options.restored;
    this.id = options.id;
    this.timing = {...DEFAULT_CONSENSUS_TIMING, ...options.timing};
    this.random = options.random;
    this.quorumSilence = new QuorumSilence(this.timing);
    this.log = new ConsensusLog(snapshot, entries);
    this.term = hardState.term;
    this.votedFor = hardState.votedFor;
    this.now = options.now;
    this.commitIndex = this.log.baseIndex;
    this.deliveredIndex = this.log.baseIndex;
    this.requiredIndex = this.isVoter(this.id) ? this.log.lastIndex : null;
    this.resetElectionDeadline();
    this.scheduleQuickElection();
  }

  /**
   * Handles the loss of the entries from an index on: they were never committed,
   * but the entries that a leader has at the same indexes may be.
   */
  onEntriesDropped(fromIndex: number): void {
    if (this.requiredIndex !== null && !this.isRequiredByLeader)
      this.requiredIndex = Math.min(this.requiredIndex, fromIndex - 1);
  }

  /** Sets the required index to one that a leader reported, if none is known. */
  requireIndex(index: number): void {
    if (this.requiredIndex !== null) return;
    this.requiredIndex = index;
    this.isRequiredByLeader = true;
  }

  /** Whether a node is currently a voter. */
  isVoter(node: NodeId): boolean {
    return this.log.members.voters.includes(node);
  }

  /** Sends a message to another node. */
  send(to: NodeId, message: ConsensusMessage<C>): void {
    if (to !== this.id)
      this.effects.messages.push({from: this.id, to, message});
  }

  /** Rejects the request with a token. */
  refuse(token: number, why: RefusalReason): void {
    this.effects.answers.push({kind: 'refused', token, why});
  }

  /** Changes the term and the vote, and writes them to disk. */
  setHardState(term: number, votedFor: NodeId | null): void {
    this.term = term;
    this.votedFor = votedFor;
    this.effects.writes.push({kind: 'hard_state', hardState: {term, votedFor}});
  }

  /** Sets a random deadline for the next election. */
  resetElectionDeadline(): void {
    const {electionMs} = this.timing;
    this.electionDeadline =
      this.now + this.random.nextInt(electionMs, 2 * electionMs);
  }

  /** Sets an earlier random deadline for the next pre-vote while no leader is known. */
  scheduleQuickElection(): void {
    const {quickElectionMs} = this.timing;
    const quickAt =
      this.now + this.random.nextInt(quickElectionMs, 3 * quickElectionMs);
    if (this.isLeaderMissing)
      this.electionDeadline = Math.min(this.electionDeadline, quickAt);
  }

  /** Handles the loss of the connection from the leader. */
  onLeaderDisconnected(): void {
    if (this.role !== 'follower' || this.leader === null) return;
    this.leader = null;
    this.leaderContactAt = Number.NEGATIVE_INFINITY;
    this.isLeaderMissing = true;
    this.scheduleQuickElection();
  }

  /** Records a message from the leader. */
  noteLeader(leader: NodeId): void {
    this.leader = leader;
    this.leaderContactAt = this.now;
    this.isLeaderMissing = false;
    this.resetElectionDeadline();
  }

  /** Becomes a follower in a term; the leader is null while unknown. */
  becomeFollower(term: number, leader: NodeId | null): void {
    if (term > this.term) this.setHardState(term, null);
    this.role = 'follower';
    this.leader = leader;
    this.progress.clear();
    for (const {token} of this.pendingReads) this.refuse(token, 'not_leader');
    this.pendingReads = [];
    this.resetElectionDeadline();
  }

  /** Whether a leader was heard from within the election timeout, so that no election is due. */
  hasLiveLeader(): boolean {
    if (this.role === 'leader') return this.hasQuorumContact();
    return this.now < this.leaderContactAt + this.timing.electionMs;
  }

  /** Whether a leader was in contact with a majority within the election timeout. */
  hasQuorumContact(): boolean {
    return this.now < this.quorumContactAt() + this.timing.electionMs;
  }

  /** Time of the last contact with a majority. */
  quorumContactAt(): number {
    return this.quorumValue(this.now, progress => progress.lastHeardAt);
  }

  /** Send time of the last round that a majority has acknowledged, in ms. */
  leadershipConfirmedAt(): number {
    return this.roundTimes.sentTimeOf(
      this.quorumValue(this.round, progress => progress.lastRound),
    );
  }

  /** Highest value that a majority of voters has reached. */
  quorumValue(own: number, read: (progress: Progress) => number): number {
    const {voters} = this.log.members;
    const values = voters.map(node => this.valueOf(node, own, read));
    values.sort((a, b) => b - a);
    return values[majorityOf(this.log.members) - 1] ?? Number.NEGATIVE_INFINITY;
  }

  private valueOf(
    node: NodeId,
    own: number,
    read: (progress: Progress) => number,
  ): number {
    if (node === this.id) return own;
    const progress = this.progress.get(node);
    return progress ? read(progress) : 0;
  }
}
