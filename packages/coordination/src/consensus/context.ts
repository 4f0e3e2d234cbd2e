import type {NodeId, Random} from '@primrosewick/state';
import {ConsensusLog} from './log.js';
import {majorityOf} from './members.js';
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

/** A read that waits for a quorum to answer a heartbeat round. */
export interface PendingRead {
  readonly token: number;
  readonly index: number;
  readonly round: number;
}

/** Why a proposal, change or read is refused. */
export type RefusalReason = 'not_leader' | 'change_pending' | 'overloaded';

/** Effects of nothing. */
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
   * Index below which the state may not be shown, as later ones may have been
   * shown before the restart; null until it is known.
   */
  requiredIndex: number | null;
  electionDeadline = 0;
  heartbeatDeadline = 0;
  quorumDeadline = 0;
  /** Time at which followers are told of a commit that they may not know of. */
  commitNoticeAt = Number.POSITIVE_INFINITY;
  leaderContactAt = Number.NEGATIVE_INFINITY;
  /** Whether no leader was followed yet, or the connection from it broke. */
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

  /** Entries from an index on were dropped, so they were never committed. */
  onEntriesDropped(fromIndex: number): void {
    if (this.requiredIndex !== null)
      this.requiredIndex = Math.min(this.requiredIndex, fromIndex - 1);
  }

  /** Whether a node votes at present. */
  isVoter(node: NodeId): boolean {
    return this.log.members.voters.includes(node);
  }

  /** Sends a message to another node. */
  send(to: NodeId, message: ConsensusMessage<C>): void {
    if (to !== this.id)
      this.effects.messages.push({from: this.id, to, message});
  }

  /** Answers a token with a refusal. */
  refuse(token: number, why: RefusalReason): void {
    this.effects.answers.push({kind: 'refused', token, why});
  }

  /** Changes the term and the vote, durably. */
  setHardState(term: number, votedFor: NodeId | null): void {
    this.term = term;
    this.votedFor = votedFor;
    this.effects.writes.push({kind: 'hard_state', hardState: {term, votedFor}});
  }

  /** Draws the time of the next election. */
  resetElectionDeadline(): void {
    const {electionMs} = this.timing;
    this.electionDeadline =
      this.now + this.random.nextInt(electionMs, 2 * electionMs);
  }

  /** Draws an earlier time of the next pre-vote while there may be no leader. */
  scheduleQuickElection(): void {
    const {quickElectionMs} = this.timing;
    const quickAt =
      this.now + this.random.nextInt(quickElectionMs, 3 * quickElectionMs);
    if (this.isLeaderMissing)
      this.electionDeadline = Math.min(this.electionDeadline, quickAt);
  }

  /** Notes that the connection from the leader broke. */
  onLeaderDisconnected(): void {
    if (this.role !== 'follower' || this.leader === null) return;
    this.leader = null;
    this.leaderContactAt = Number.NEGATIVE_INFINITY;
    this.isLeaderMissing = true;
    this.scheduleQuickElection();
  }

  /** Notes a message of the leader. */
  noteLeader(leader: NodeId): void {
    this.leader = leader;
    this.leaderContactAt = this.now;
    this.isLeaderMissing = false;
    this.resetElectionDeadline();
  }

  /** Follows a leader, or none that is known, in a term. */
  becomeFollower(term: number, leader: NodeId | null): void {
    if (term > this.term) this.setHardState(term, null);
    this.role = 'follower';
    this.leader = leader;
    this.progress.clear();
    for (const {token} of this.pendingReads) this.refuse(token, 'not_leader');
    this.pendingReads = [];
    this.resetElectionDeadline();
  }

  /** Whether a leader was heard of lately, so that no election is due. */
  hasLiveLeader(): boolean {
    if (this.role === 'leader') return this.hasQuorumContact();
    return this.now < this.leaderContactAt + this.timing.electionMs;
  }

  /** Whether a leader has heard of a majority lately. */
  hasQuorumContact(): boolean {
    return this.now < this.quorumContactAt() + this.timing.electionMs;
  }

  /** Time at which a majority was last heard of. */
  quorumContactAt(): number {
    return this.quorumValue(this.now, progress => progress.lastHeardAt);
  }

  /** Time at which the last round that a majority has answered was sent, in ms. */
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
