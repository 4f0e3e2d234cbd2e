/**
 * Calls between the VMs of a cell that schedules workflows. They are
 * multiplexed on one long-lived stream per pair of VMs. One table lists every
 * method with its deadline.
 */
import type {
  Bundle,
  ClientLimits,
  ErrorBody,
  KeyDigest,
  NodeId,
  StepRef,
  VmId,
  WorkerId,
  WorkerRegistration,
  WorkflowSpec,
  ZoneId,
} from '@primrosewick/state';

/** Identity of a VM and the state of its log. */
export interface LinkHello {
  readonly vm: VmId;
  readonly zone: ZoneId;
  /** Identity of its data folder; null without one. */
  readonly node: NodeId | null;
  /** Whether its data folder holds a log. */
  readonly hasState: boolean;
  /**
   * Whether its settings allow it to bootstrap the log because the whole cell
   * starts for the first time.
   */
  readonly mayFound: boolean;
}

/** Reply to a hello, with what the VM knows about the cell. */
export interface LinkHelloReply extends LinkHello {
  readonly leader: VmId | null;
  /** VMs with a disk that are members of the log. */
  readonly members: readonly VmId[];
  /** Whether the VM leads the log, is current, and has a bundle. */
  readonly isServing: boolean;
  /** Whether the VM has a replica that serves reads, once it is fresh enough. */
  readonly isReadable: boolean;
  /** Applied index of its state; 0 without a disk. */
  readonly index: number;
  /** Limits of the bundle that it has; earlier releases tell none. */
  readonly limits?: VersionedLimits;
}

/** Limits on clients, of one version of the bundle. */
export interface VersionedLimits extends ClientLimits {
  readonly version: number;
}

/** Address of a queue in a client's request. */
export interface QueueAddress {
  readonly host: string;
  readonly path: string;
  /** Digest of the key that the client gave; absent without one. */
  readonly credential?: KeyDigest;
}

/** Client's request to a queue. */
export type WorkflowRequest =
  | (QueueAddress & {
      readonly kind: 'submit';
      readonly spec: WorkflowSpec;
      /** Availability zone of the entry; earlier releases send none. */
      readonly zone?: ZoneId;
    })
  | (QueueAddress & {readonly kind: 'get'})
  | (QueueAddress & {
      readonly kind: 'cancel';
      /** IP address of the client; earlier releases send none. */
      readonly clientAddress?: string;
    });

/** State of a workflow as reported to clients. */
export type WorkflowView =
  'queued' | 'running' | 'done' | 'failed' | 'cancelled';

/** Reply to a client's request. */
export type WorkflowReply =
  | {readonly kind: 'accepted'}
  | {readonly kind: 'state'; readonly state: WorkflowView}
  | {
      readonly kind: 'pending';
      readonly count: number;
      /** Version of the bundle that has the queue; earlier releases tell none. */
      readonly version?: number;
    }
  | {readonly kind: 'cancelled'}
  | {readonly kind: 'unknown_workflow'}
  | {
      readonly kind: 'unknown_queue';
      /** Version of the bundle that lacks the queue, told to reads; earlier releases tell none. */
      readonly version?: number;
    }
  | {
      /** The client gave no key, or none that the bundle has. */
      readonly kind: 'unauthenticated';
      /** Version of the bundle that was consulted. */
      readonly version: number;
    };

/** A worker that the adviser allows to run a step, with the ticket for it. */
export interface AdvisedWorker {
  readonly worker: WorkerId;
  readonly ticket: string;
}

/** Reply of an adviser. */
export type AdviceReply =
  | {readonly kind: 'allowed'; readonly workers: readonly AdvisedWorker[]}
  | {readonly kind: 'busy'}
  /** It was asked and did not answer in time; earlier versions report an error. */
  | {readonly kind: 'unanswered'};

/** The leader's reply, or a redirect to the leader. */
export type LinkLeaderReply<T> =
  /** `index` is the index of the leader's state at the time of the reply. */
  | {readonly kind: 'ok'; readonly value: T; readonly index?: number}
  | {readonly kind: 'not_leader'; readonly leader: VmId | null};

/** Request and reply types by method. */
export interface LinkMethods {
  hello: {request: LinkHello; reply: LinkHelloReply};
  consensus: {
    request: {readonly envelopes: readonly unknown[]};
    reply: {readonly envelopes: readonly unknown[]};
  };
  readIndex: {
    request: Record<string, never>;
    reply: LinkLeaderReply<{readonly index: number}>;
  };
  /**
   * Reads from a replica, which waits to apply index `atLeast` and answers only
   * what it is certain of. It may delay its answer about a running workflow by
   * `waitMs`, until the workflow ends; earlier versions do not send that.
   */
  readWorkflow: {
    request: QueueAddress & {
      readonly atLeast: number;
      readonly waitMs?: number;
    };
    /**
     * The answer, null where only the leader can tell, the index of the state
     * that it was read from, and for how long it waited for an end, in ms.
     */
    reply: {
      readonly answer: WorkflowReply | null;
      readonly index: number;
      readonly waitedMs?: number;
    };
  };
  /**
   * Reads from a replica that first reaches a read index of the leader, within
   * `timeoutMs`; it knows then what is missing.
   */
  readConfirmed: {
    request: QueueAddress & {readonly timeoutMs: number};
    /** The answer, and the index of the state that it was read from. */
    reply: {readonly answer: WorkflowReply; readonly index: number};
  };
  workflow: {request: WorkflowRequest; reply: LinkLeaderReply<WorkflowReply>};
  announceWorker: {
    request: WorkerRegistration;
    reply: LinkLeaderReply<{readonly isKnown: boolean}>;
  };
  /** Reports workers whose announcements contained no change. */
  heardWorkers: {
    request: {readonly workers: readonly WorkerId[]};
    reply: LinkLeaderReply<{readonly count: number}>;
  };
  removeWorker: {
    request: {readonly worker: WorkerId; readonly bornAt: number | null};
    reply: LinkLeaderReply<{readonly isKnown: boolean}>;
  };
  putBundle: {
    request: {readonly bundle: Bundle};
    reply: LinkLeaderReply<{readonly version: number}>;
  };
  getBundle: {
    request: Record<string, never>;
    reply: LinkLeaderReply<{readonly bundle: Bundle | null}>;
  };
  advise: {
    request: {
      readonly step: StepRef;
      readonly workers: readonly WorkerId[];
      /** Time in which the adviser should answer, in ms; earlier versions send none. */
      readonly answerMs?: number;
    };
    reply: AdviceReply;
  };
}

/** Name of a method. */
export type LinkMethod = keyof LinkMethods;

/** How calls to a method are made. */
export interface LinkMethodTerms {
  /** Deadline of a call, in ms. */
  readonly deadlineMs: number;
  /**
   * Whether its calls go over another stream as soon as one may be silent. Calls
   * about the log do: a leader without them for an election timeout is replaced.
   * Others can wait, and their many callers must not reconnect to a VM that is slow.
   */
  readonly isUrgent?: boolean;
}

/** Terms of each method. */
export const LINK_METHODS: {
  readonly [M in LinkMethod]: LinkMethodTerms;
} = {
  hello: {deadlineMs: 700},
  consensus: {deadlineMs: 1000, isUrgent: true},
  readIndex: {deadlineMs: 1000},
  readWorkflow: {deadlineMs: 300},
  readConfirmed: {deadlineMs: 1500},
  workflow: {deadlineMs: 2500},
  announceWorker: {deadlineMs: 900},
  heardWorkers: {deadlineMs: 900},
  removeWorker: {deadlineMs: 900},
  putBundle: {deadlineMs: 1500},
  getBundle: {deadlineMs: 1000},
  advise: {deadlineMs: 8000},
};

/** One frame of a stream. */
export type LinkFrame =
  | {
      readonly kind: 'call';
      readonly id: number;
      readonly method: LinkMethod;
      readonly body: unknown;
      /** Time that the caller still waits, in ms; earlier versions do not send it. */
      readonly leftMs?: number;
    }
  | {readonly kind: 'reply'; readonly id: number; readonly body: unknown}
  | {readonly kind: 'error'; readonly id: number; readonly error: ErrorBody}
  /** First frame of a stream: identifies the caller. */
  | {readonly kind: 'open'; readonly cell: string; readonly from: VmId}
  /** The caller no longer wants to wait for the reply to a call; it may still come. */
  | {readonly kind: 'cancel'; readonly id: number}
  | {readonly kind: 'ping'}
  | {readonly kind: 'pong'};

/** Largest frame, in bytes. */
export const MAX_LINK_FRAME_BYTES = 8 * 1024 * 1024;
