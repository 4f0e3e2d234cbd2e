/**
 * Messages between daemons. One table lists every method with its deadline.
 * Receivers reject a request of another cell or protocol version, or one that
 * is addressed to another VM.
 */
import type {
  CellCommand,
  Size,
  CoreName,
  TimedNote,
  CellId,
  CellImage,
  CellResult,
  Epoch,
  ErrorBody,
  NodeId,
  ShareAnswer,
  ShareHandover,
  ShareRequest,
  VmId,
  ZoneId,
} from '@primrosewick/state';
import type {
  UpstreamAnnouncement,
  WorkerAnnouncement,
  WorkerOrders,
} from '../api/platform.js';

/** Version of the protocol between daemons. */
export const PEER_PROTOCOL_VERSION = 1;

/** Largest message between daemons, in bytes. */
export const MAX_PEER_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Identity of a VM and its state. */
export interface HelloReply {
  readonly vm: VmId;
  readonly zone: ZoneId;
  /** Random id generated when the process starts. */
  readonly boot: string;
  /** Identity of its data folder; null without one. */
  readonly node: NodeId | null;
  /** Whether its data folder holds a log, or its copy of the state is not empty. */
  readonly hasState: boolean;
}

/** Result of a proposal. */
export type ProposeReply =
  | {readonly kind: 'result'; readonly result: CellResult}
  | {readonly kind: 'not_leader'; readonly leader: VmId | null}
  | {readonly kind: 'refused'; readonly error: ErrorBody};

/** Requests the log entries after an index. */
export interface FollowRequest {
  readonly sinceIndex: number;
  /** Long-poll timeout when there are no newer entries, in ms. */
  readonly waitMs: number;
  /** Random id generated when the follower's process starts. */
  readonly boot: string;
}

/** One committed entry; `command` is absent where the log entry has none. */
export interface FollowEntry {
  readonly index: number;
  readonly command?: CellCommand;
}

/**
 * Entries after an index of the log, or an image of the state if the source no
 * longer keeps them.
 */
export type FollowReply =
  | {
      readonly kind: 'entries';
      readonly entries: readonly FollowEntry[];
      readonly commitIndex: number;
      /** Time since the source last confirmed that it is current, in ms. */
      readonly staleMs?: number;
    }
  | {
      readonly kind: 'image';
      readonly image: CellImage;
      readonly commitIndex: number;
      /** Time since the source last confirmed that it is current, in ms. */
      readonly staleMs?: number;
    }
  | {readonly kind: 'not_ready'};

/** Election of a zone's leader, and renewal and release of its lease. */
export type AuthorityMessage =
  | {readonly kind: 'prepare'; readonly zone: ZoneId}
  | {
      readonly kind: 'vote';
      readonly zone: ZoneId;
      readonly epoch: Epoch;
      readonly leaseMs: number;
    }
  | {
      readonly kind: 'renew';
      readonly zone: ZoneId;
      readonly epoch: Epoch;
      readonly leaseMs: number;
    }
  | {
      readonly kind: 'release';
      readonly zone: ZoneId;
      readonly epoch: Epoch;
      readonly why: ReleaseReason;
    };

/** One incarnation of a grantor. */
export interface GrantorProcess {
  readonly vm: VmId;
  /** Random id generated when it starts. */
  readonly boot: string;
}

/** State that a stopping leader hands over to its successor. */
export interface LeaderHandover {
  readonly handover: ShareHandover;
  /**
   * Grantors that answered the leader while it led; these know of every vote
   * that they granted after its leadership.
   */
  readonly witnesses: readonly GrantorProcess[];
}

/** Why an epoch is released. */
export type ReleaseReason =
  /** Its leader stops; the next leader takes over the shares of slots that it granted. */
  | {
      readonly kind: 'stopped';
      readonly handover: ShareHandover;
      /** As in `LeaderHandover`; a leader of an older version omits it. */
      readonly witnesses?: readonly GrantorProcess[];
    }
  /** Its candidate never led under it. */
  | {readonly kind: 'not_led'};

/** The latest earlier epoch that may have had a leader, as known to a grantor. */
export interface LastEpoch {
  readonly epoch: Epoch;
  /**
   * Handover of its leader, if it stopped; `heldMs` is the time since it was
   * received, in ms.
   */
  readonly left?: {
    readonly succession: LeaderHandover;
    readonly heldMs: number;
  };
}

/** Reply to an authority message. */
export interface AuthorityReply {
  readonly isGranted: boolean;
  /** Highest epoch of the zone that the VM has seen. */
  readonly seenEpoch: Epoch;
  /** Leader to which the grantor has currently granted the lease; null without one. */
  readonly leader: VmId | null;
  /** Random id generated when the grantor's process starts. */
  readonly boot: string;
  /** Uptime of the grantor, in ms. */
  readonly upMs: number;
  /**
   * Only in reply to a granted vote; absent if it is the grantor's first since
   * its start.
   */
  readonly lastReign?: LastEpoch;
}

/** Current shares of an entry, valid from the send time of its sync request. */
export interface ShareGrant extends ShareAnswer {
  readonly epoch: Epoch;
  readonly leaseMs: number;
}

/** Reply to a request that only the zone's leader can serve. */
export type LeaderReply<T> =
  | {readonly kind: 'ok'; readonly value: T}
  | {readonly kind: 'not_leader'; readonly leader: VmId | null};

/** Request and reply types by method. */
export interface PeerMethods {
  hello: {request: {readonly boot: string}; reply: HelloReply};
  consensus: {
    request: {readonly envelopes: readonly unknown[]};
    reply: {readonly envelopes: readonly unknown[]};
  };
  propose: {request: {readonly command: CellCommand}; reply: ProposeReply};
  readIndex: {
    request: {readonly boot: string};
    reply: LeaderReply<{readonly index: number}>;
  };
  follow: {request: FollowRequest; reply: FollowReply};
  authority: {request: AuthorityMessage; reply: AuthorityReply};
  syncShares: {request: ShareRequest; reply: LeaderReply<ShareGrant>};
  announceUpstream: {
    request: UpstreamAnnouncement;
    reply: LeaderReply<{readonly epoch: Epoch}>;
  };
  announceWorker: {
    request: WorkerAnnouncement;
    reply: LeaderReply<WorkerOrders>;
  };
  canHold: {request: CanHoldRequest; reply: LeaderReply<CanHoldReply>};
  status: {request: {readonly boot: string}; reply: VmStatus};
  explain: {
    request: {readonly subject: string};
    reply: {readonly notes: readonly TimedNote[]};
  };
  journal: {
    request: {readonly core: CoreName; readonly fromLine: number};
    reply: JournalPage;
  };
}

/** Name of a method. */
export type PeerMethod = keyof PeerMethods;

/** Deadline of a call to each method, in ms. */
export const PEER_METHODS: {
  readonly [M in PeerMethod]: {readonly deadlineMs: number};
} = {
  hello: {deadlineMs: 1000},
  consensus: {deadlineMs: 1000},
  propose: {deadlineMs: 5000},
  readIndex: {deadlineMs: 2000},
  follow: {deadlineMs: 4000},
  authority: {deadlineMs: 700},
  syncShares: {deadlineMs: 1000},
  announceUpstream: {deadlineMs: 1000},
  announceWorker: {deadlineMs: 2000},
  canHold: {deadlineMs: 1000},
  status: {deadlineMs: 1500},
  explain: {deadlineMs: 1500},
  journal: {deadlineMs: 5000},
};

/** Frame that carries a request or reply on the wire. */
export interface PeerFrame<T> {
  readonly version: number;
  readonly cell: CellId;
  readonly from: VmId;
  readonly to: VmId;
  readonly body: T;
}

/** Queries whether the workers of a zone could hold tasks if they ran no others. */
export interface CanHoldRequest {
  readonly size: Size;
  readonly taskCount: number;
  readonly gang: boolean;
}

/** Whether the workers of a zone could hold the tasks if they ran no others. */
export interface CanHoldReply {
  /**
   * `unknown` while the leader is new or knows no worker, as it may not have
   * learned of all workers yet.
   */
  readonly verdict: 'yes' | 'no' | 'unknown';
}

/** One page of the retained lines of a journal. */
export interface JournalPage {
  readonly lines: readonly string[];
  readonly hasMore: boolean;
}

/** State of one VM as reported to other VMs and operators. */
export interface VmStatus {
  readonly vm: VmId;
  readonly zone: ZoneId;
  readonly boot: string;
  readonly isReady: boolean;
  readonly isStopping: boolean;
  readonly appliedIndex: number;
  /** Time since the configuration was last confirmed to be current, in ms. */
  readonly staleMs: number;
  readonly profiles: ReadonlyArray<{
    readonly name: string;
    readonly revision: number;
  }>;
  readonly log: LogStatus | null;
  readonly zoneLeader: {readonly vm: VmId | null; readonly epoch: Epoch};
  readonly upstreams: readonly UpstreamStatus[];
  readonly workers: readonly WorkerStatus[];
  readonly shares: ReadonlyArray<{
    readonly upstream: string;
    readonly slots: number;
    readonly busy: number;
  }>;
  readonly queued: number;
  readonly running: number;
}

/** State of a voter or learner of the cell log. */
export interface LogStatus {
  readonly node: NodeId;
  readonly role: string;
  readonly term: number;
  readonly leader: NodeId | null;
  readonly commitIndex: number;
  readonly lastIndex: number;
  readonly voters: readonly NodeId[];
  readonly learners: readonly NodeId[];
  readonly failure: string | null;
}

/** One upstream as its zone's leader knows it. */
export interface UpstreamStatus {
  readonly upstream: string;
  readonly service: string;
  readonly address: string;
  readonly slots: number;
  readonly lent: number;
  readonly inFlight: number;
  readonly state: string;
}

/** One worker as its zone's leader knows it. */
export interface WorkerStatus {
  readonly worker: string;
  readonly rack: string;
  readonly state: string;
  readonly cpuMillis: number;
  readonly usedCpuMillis: number;
  readonly tasks: number;
}
