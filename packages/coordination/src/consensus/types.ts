/**
 * Messages, inputs and effects of the consensus core. The protocol is the
 * replicated log of Ongaro, "Consensus: Bridging Theory and Practice" (2014),
 * with pre-vote, check-quorum, learners and one-at-a-time member changes.
 */
import type {NodeId} from '@primrosewick/state';

/** Members of the log: voters count towards quorums, learners only receive entries. */
export interface Members {
  readonly voters: readonly NodeId[];
  readonly learners: readonly NodeId[];
}

/** A change of one member. */
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

/** State up to an index, which replaces the entries up to there. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly members: Members;
  readonly data: Uint8Array;
}

/** Term and vote, which must survive a restart. */
export interface HardState {
  readonly term: number;
  readonly votedFor: NodeId | null;
}

/** State that a node reads back from its data folder. */
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
      /** Set when the leader itself requested the election, to transfer leadership. */
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
      /** Last index known to match, or the index to retry from when rejected. */
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
      /** Approximate size of the command, if it is known, in bytes. */
      readonly bytes?: number;
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
  /** The connection from the leader broke, so the leader may have stopped. */
  | {readonly kind: 'leader_lost'; readonly now: number}
  /** Index that was committed after the start of a node without a log. */
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

/** Input of the state machine, in order. */
export type Delivery<C> =
  | {readonly kind: 'entry'; readonly entry: Entry<C>}
  | {readonly kind: 'snapshot'; readonly snapshot: Snapshot};

/**
 * Effects of one input. The driver first makes all `writes` durable, then
 * sends `messages`, then passes on `deliveries` and `answers`.
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
   * Shortest time until a pre-vote if no leader has been followed yet or its
   * connection broke, in ms; the longest is three times as long. A running
   * leader reconnects and sends a heartbeat in less time.
   */
  readonly quickElectionMs: number;
  /**
   * Delay after which a new commit index is sent to followers without entries,
   * in ms; under load the next entries carry it before that.
   */
  readonly commitNoticeMs: number;
  /** Maximum number of entries in one message. */
  readonly maxEntriesPerMessage: number;
  /** Maximum bytes of entries in one message; a larger entry goes alone. */
  readonly maxBytesPerMessage: number;
  /** Maximum number of entries sent beyond the last acknowledged one. */
  readonly maxInFlight: number;
  /** Bytes of such entries from which no more are sent. */
  readonly maxInFlightBytes: number;
  /** Maximum number of entries appended but not yet committed. */
  readonly maxUncommitted: number;
  /** Bytes of such entries from which no more are appended. */
  readonly maxUncommittedBytes: number;
  /** Size of one snapshot chunk, in bytes. */
  readonly chunkBytes: number;
}

/** Default timing. */
export const DEFAULT_CONSENSUS_TIMING: ConsensusTiming = {
  heartbeatMs: 500,
  electionMs: 1500,
  quickElectionMs: 700,
  commitNoticeMs: 10,
  maxEntriesPerMessage: 256,
  maxBytesPerMessage: 512 * 1024,
  maxInFlight: 2048,
  maxInFlightBytes: 4 * 1024 * 1024,
  maxUncommitted: 4096,
  maxUncommittedBytes: 16 * 1024 * 1024,
  chunkBytes: 256 * 1024,
};

/** Size of a log in memory, and of the snapshot before it. */
export interface LogSize {
  /** Entries after the snapshot. */
  readonly entries: number;
  /** Their approximate size, in bytes. */
  readonly bytes: number;
  /** Index of the snapshot, or 0. */
  readonly snapshotIndex: number;
  /** Size of its state, in bytes. */
  readonly snapshotBytes: number;
}

/** Replication progress of another member, as tracked by the leader. */
export interface Progress {
  nextIndex: number;
  matchIndex: number;
  /** Time of the latest reply, in ms. */
  lastHeardAt: number;
  /** Commit index last sent to the node. */
  sentCommit: number;
  /** Latest heartbeat round that the node has acknowledged. */
  lastRound: number;
  /** Offset of the next byte to send of a snapshot that is being transferred. */
  snapshotOffset: number;
  /** Earliest time at which the same chunk is sent again, in ms. */
  chunkResendAt: number;
  /** First round whose rejections count; earlier ones precede the last rewind. */
  rewindRound: number;
  /** Whether the node is so far behind that it gets one message at a time. */
  isCatchingUp: boolean;
}

/** Role of a node. */
export type Role = 'follower' | 'pre_candidate' | 'candidate' | 'leader';

/** Read-only view of the core, for status reports and tests. */
export interface ConsensusStatus {
  readonly id: NodeId;
  readonly role: Role;
  readonly term: number;
  readonly leader: NodeId | null;
  readonly commitIndex: number;
  readonly lastIndex: number;
  readonly members: Members;
  /** Whether the state may be served: none later than it was served before a restart. */
  readonly isCurrent: boolean;
  /** Whether the node waits for the index of a `require` input. */
  readonly needsIndex: boolean;
  /** Time at which a leader must tick to send a pending commit index, in ms. */
  readonly commitNoticeAt: number;
  /** Time of the last contact with the leader or, on the leader, with a quorum, in ms. */
  readonly lastContactAt: number;
  /** Acknowledged index of each other node; empty unless leader. */
  readonly matches: ReadonlyArray<{
    readonly node: NodeId;
    readonly index: number;
  }>;
}
