/**
 * Messages, inputs and effects of the consensus core. The protocol is the
 * replicated log of Ongaro, "Consensus: Bridging Theory and Practice" (2014),
 * with pre-vote, check-quorum, learners and one-at-a-time member changes.
 */
import type {NodeId} from '@primrosewick/state';

/** Voters decide; learners only receive the log. */
export interface Members {
  readonly voters: readonly NodeId[];
  readonly learners: readonly NodeId[];
}

/** One step from one set of members to the next. */
export type MemberChange =
  | {readonly kind: 'add_learner'; readonly node: NodeId}
  | {readonly kind: 'promote'; readonly node: NodeId}
  | {readonly kind: 'remove'; readonly node: NodeId};

/** Content of a log entry. */
export type EntryBody<C> =
  | {readonly kind: 'noop'}
  | {readonly kind: 'command'; readonly command: C}
  | {readonly kind: 'members'; readonly members: Members};

/** One entry of the replicated log; indexes start at 1. */
export interface Entry<C> {
  readonly term: number;
  readonly index: number;
  readonly body: EntryBody<C>;
}

/** State up to an index, in place of the entries that led to it. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly members: Members;
  readonly data: Uint8Array;
}

/** What a node must not forget between elections. */
export interface HardState {
  readonly term: number;
  readonly votedFor: NodeId | null;
}

/** What a node reads back from its data folder. */
export interface DurableState<C> {
  readonly hardState: HardState;
  readonly snapshot: Snapshot | null;
  readonly entries: ReadonlyArray<Entry<C>>;
}

/** Messages between the nodes. */
export type ConsensusMessage<C> =
  | {
      readonly kind: 'vote_request';
      readonly term: number;
      readonly lastIndex: number;
      readonly lastTerm: number;
      readonly isPreVote: boolean;
      /** Set when the leader itself asked for the election. */
      readonly isTransfer: boolean;
    }
  | {
      readonly kind: 'vote_reply';
      readonly term: number;
      readonly isPreVote: boolean;
      readonly isGranted: boolean;
    }
  | {
      readonly kind: 'append';
      readonly term: number;
      readonly prevIndex: number;
      readonly prevTerm: number;
      readonly entries: ReadonlyArray<Entry<C>>;
      readonly commitIndex: number;
      /** Number of the leader's heartbeat round, echoed in the reply. */
      readonly round: number;
    }
  | {
      readonly kind: 'append_reply';
      readonly term: number;
      readonly isAccepted: boolean;
      /** Last index known to match, or where to retry when refused. */
      readonly index: number;
      readonly round: number;
    }
  | {
      readonly kind: 'snapshot_chunk';
      readonly term: number;
      readonly index: number;
      readonly snapshotTerm: number;
      readonly members: Members;
      readonly offset: number;
      readonly chunk: Uint8Array;
      readonly isLast: boolean;
      readonly round: number;
    }
  | {
      readonly kind: 'snapshot_reply';
      readonly term: number;
      readonly index: number;
      readonly nextOffset: number;
      readonly round: number;
    }
  | {readonly kind: 'transfer'; readonly term: number};

/** A message with its sender and receiver. */
export interface Envelope<C> {
  readonly from: NodeId;
  readonly to: NodeId;
  readonly message: ConsensusMessage<C>;
}

/** Inputs of the core; `now` is monotonic time in ms. */
export type ConsensusInput<C> =
  | {readonly kind: 'tick'; readonly now: number}
  | {
      readonly kind: 'message';
      readonly now: number;
      readonly envelope: Envelope<C>;
    }
  | {
      readonly kind: 'propose';
      readonly now: number;
      readonly token: number;
      readonly command: C;
      /** Whether more proposals follow at once, so that one message carries them all. */
      readonly isMore?: boolean;
    }
  | {
      readonly kind: 'change_members';
      readonly now: number;
      readonly token: number;
      readonly change: MemberChange;
    }
  | {readonly kind: 'read'; readonly now: number; readonly token: number}
  | {readonly kind: 'transfer'; readonly now: number}
  /** The connection from the leader broke, so it may have ended. */
  | {readonly kind: 'leader_lost'; readonly now: number}
  /** An index that was committed after the start of a node without a log. */
  | {readonly kind: 'require'; readonly now: number; readonly index: number}
  | {
      readonly kind: 'compact';
      readonly now: number;
      readonly index: number;
      readonly data: Uint8Array;
    };

/** Writes in the order in which they must reach the disk. */
export type StorageWrite<C> =
  | {readonly kind: 'hard_state'; readonly hardState: HardState}
  | {readonly kind: 'append'; readonly entries: ReadonlyArray<Entry<C>>}
  | {readonly kind: 'truncate'; readonly fromIndex: number}
  | {readonly kind: 'snapshot'; readonly snapshot: Snapshot};

/** Answer to a proposal, a member change or a read. */
export type TokenAnswer =
  | {
      readonly kind: 'appended';
      readonly token: number;
      readonly index: number;
      readonly term: number;
    }
  | {
      readonly kind: 'read_ready';
      readonly token: number;
      readonly index: number;
    }
  | {
      readonly kind: 'refused';
      readonly token: number;
      readonly why: 'not_leader' | 'change_pending' | 'overloaded';
    };

/** What the state machine must do, in order. */
export type Delivery<C> =
  | {readonly kind: 'entry'; readonly entry: Entry<C>}
  | {readonly kind: 'snapshot'; readonly snapshot: Snapshot};

/**
 * Effects of one input. The driver first makes all `writes` durable, then
 * sends `messages`, then hands `deliveries` and `answers` on.
 */
export interface ConsensusEffects<C> {
  readonly writes: Array<StorageWrite<C>>;
  readonly messages: Array<Envelope<C>>;
  readonly deliveries: Array<Delivery<C>>;
  readonly answers: TokenAnswer[];
}

/** Timing and bounds of the core. */
export interface ConsensusTiming {
  /** Interval between heartbeats, in ms. */
  readonly heartbeatMs: number;
  /** Shortest election timeout, in ms; the longest is twice as long. */
  readonly electionMs: number;
  /**
   * Shortest time until a pre-vote when no leader was followed yet, or its
   * connection broke, in ms; the longest is three times as long. A leader that
   * is there connects again and sends a heartbeat in less.
   */
  readonly quickElectionMs: number;
  /**
   * Time after which followers are told of a commit that no message has told
   * them of, in ms: under load the next entries carry it.
   */
  readonly commitNoticeMs: number;
  /** Most entries in one message. */
  readonly maxEntriesPerMessage: number;
  /** Most entries sent beyond the last acknowledged one. */
  readonly maxInFlight: number;
  /** Most proposals appended but not yet committed. */
  readonly maxUncommitted: number;
  /** Size of one snapshot chunk, in bytes. */
  readonly chunkBytes: number;
}

/** Timing used where none is given. */
export const DEFAULT_CONSENSUS_TIMING: ConsensusTiming = {
  heartbeatMs: 500,
  electionMs: 1500,
  quickElectionMs: 700,
  commitNoticeMs: 10,
  maxEntriesPerMessage: 256,
  maxInFlight: 2048,
  maxUncommitted: 4096,
  chunkBytes: 256 * 1024,
};

/** What a node knows of another while it leads. */
export interface Progress {
  nextIndex: number;
  matchIndex: number;
  /** Latest time at which the node answered, in ms. */
  lastHeardAt: number;
  /** Commit index that the node was last told of. */
  sentCommit: number;
  /** Latest heartbeat round that the node has answered. */
  lastRound: number;
  /** Next byte of the snapshot to send, while one is being sent. */
  snapshotOffset: number;
  /** Time before which the same chunk is not sent again, in ms. */
  chunkResendAt: number;
  /** Round from which a refusal counts: earlier ones are of what was sent before. */
  rewindRound: number;
  /** Whether the node lacks so much that it is sent one message at a time. */
  isCatchingUp: boolean;
}

/** Role of a node. */
export type Role = 'follower' | 'pre_candidate' | 'candidate' | 'leader';

/** A look at the core, for status and tests. */
export interface ConsensusStatus {
  readonly id: NodeId;
  readonly role: Role;
  readonly term: number;
  readonly leader: NodeId | null;
  readonly commitIndex: number;
  readonly lastIndex: number;
  readonly members: Members;
  /** Whether the state may be shown: nothing later was shown before a restart. */
  readonly isCurrent: boolean;
  /** Whether the node waits to be told an index by `require`. */
  readonly needsIndex: boolean;
  /** Time at which a leader must tick so that followers learn of a commit, in ms. */
  readonly commitNoticeAt: number;
  /** Time of the last contact with the leader, or with a quorum, in ms. */
  readonly lastContactAt: number;
  /** Acknowledged index of each other node; empty unless leader. */
  readonly matches: ReadonlyArray<{
    readonly node: NodeId;
    readonly index: number;
  }>;
}
