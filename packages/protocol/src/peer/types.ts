/**
 * Messages between daemons. One table names every method with its deadline;
 * the codec checks that a request is of this cell and meant for this VM.
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

/** What a VM says of itself. */
export interface HelloReply {
  readonly vm: VmId;
  readonly zone: ZoneId;
  /** Random text made at the start of the process. */
  readonly boot: string;
  /** Identity of its data folder, where it has one. */
  readonly node: NodeId | null;
  /** Whether its data folder holds a log, or its copy of the state is not empty. */
  readonly hasState: boolean;
}

/** Result of a proposal. */
export type ProposeReply =
  | {readonly kind: 'result'; readonly result: CellResult}
  | {readonly kind: 'not_leader'; readonly leader: VmId | null}
  | {readonly kind: 'refused'; readonly error: ErrorBody};

/** Asks for what follows an index of the log. */
export interface FollowRequest {
  readonly sinceIndex: number;
  /** How long to wait when there is nothing new, in ms. */
  readonly waitMs: number;
  /** Revision set that the follower shows, for `profile status`. */
  readonly boot: string;
}

/** One committed entry; without a command where the log holds none. */
export interface FollowEntry {
  readonly index: number;
  readonly command?: CellCommand;
}

/** What follows an index of the log. */
export type FollowReply =
  | {
      readonly kind: 'entries';
      readonly entries: readonly FollowEntry[];
      readonly commitIndex: number;
      /** Age of the source's own proof that it is current, in ms. */
      readonly staleMs?: number;
    }
  | {
      readonly kind: 'image';
      readonly image: CellImage;
      readonly commitIndex: number;
      /** Age of the source's own proof that it is current, in ms. */
      readonly staleMs?: number;
    }
  | {readonly kind: 'not_ready'};

/** Election and renewal of a zone's leader. */
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

/** One process of a grantor. */
export interface GrantorProcess {
  readonly vm: VmId;
  /** Random text made at its start. */
  readonly boot: string;
}

/** What a leader that stops leaves to the next. */
export interface LeadershipHandover {
  readonly handover: ShareHandover;
  /** Grantors that answered it while it led: they know of every vote of theirs after it. */
  readonly witnesses: readonly GrantorProcess[];
}

/** Why an epoch is given up. */
export type ReleaseReason =
  /** Its leader stops; the next goes on with what it has lent. */
  | {
      readonly kind: 'stopped';
      readonly handover: ShareHandover;
      /** As in `Succession`; absent from a leader of an older version. */
      readonly witnesses?: readonly GrantorProcess[];
    }
  /** Its candidate never led under it. */
  | {readonly kind: 'not_led'};

/** The latest epoch that may have had a leader, as far as a grantor knows. */
export interface PreviousLeadership {
  readonly epoch: Epoch;
  /** What its leader left when it stopped, and how long ago that was heard, in ms. */
  readonly left?: {
    readonly succession: LeadershipHandover;
    readonly heldMs: number;
  };
}

/** Answer to an authority message. */
export interface AuthorityReply {
  readonly isGranted: boolean;
  /** Highest epoch of the zone that the VM has seen. */
  readonly seenEpoch: Epoch;
  /** Leader that the VM follows at present. */
  readonly leader: VmId | null;
  /** Random text made at the start of the grantor. */
  readonly boot: string;
  /** Time since the start of the grantor, in ms. */
  readonly upMs: number;
  /** For a granted vote: absent where it has granted none before since its start. */
  readonly lastReign?: PreviousLeadership;
}

/** Shares that an entry now has, valid from the send time of its sync on. */
export interface ShareGrant extends ShareAnswer {
  readonly epoch: Epoch;
  readonly leaseMs: number;
}

/** Reply of a VM that may not lead the zone it was asked for. */
export type LeaderReply<T> =
  | {readonly kind: 'ok'; readonly value: T}
  | {readonly kind: 'not_leader'; readonly leader: VmId | null};

/** Requests and replies by method. */
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

/** A request or reply on the wire. */
export interface PeerFrame<T> {
  readonly version: number;
  readonly cell: CellId;
  readonly from: VmId;
  readonly to: VmId;
  readonly body: T;
}

/** Asks whether the workers of a zone could hold tasks, were they empty. */
export interface CanHoldRequest {
  readonly size: Size;
  readonly taskCount: number;
  readonly gang: boolean;
}

/** Whether the workers of a zone could hold tasks. */
export interface CanHoldReply {
  /** `unknown` while the leader may not know all workers yet. */
  readonly verdict: 'yes' | 'no' | 'unknown';
}

/** A part of the kept lines of a journal. */
export interface JournalPage {
  readonly lines: readonly string[];
  readonly hasMore: boolean;
}

/** State of one VM as other VMs and operators see it. */
export interface VmStatus {
  readonly vm: VmId;
  readonly zone: ZoneId;
  readonly boot: string;
  readonly isReady: boolean;
  readonly isStopping: boolean;
  readonly appliedIndex: number;
  /** Age of the last proof that the configuration is current, in ms. */
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
