/**
 * Calls between the VMs of a cell that schedules workflows. They travel on
 * one long-lived stream for each pair of VMs; one table names each method
 * with its deadline.
 */
import type {
  Bundle,
  ErrorBody,
  NodeId,
  StepRef,
  VmId,
  WorkerId,
  WorkerRegistration,
  WorkflowSpec,
  ZoneId,
} from '@primrosewick/state';

/** What a VM says of itself and of the log. */
export interface LinkHello {
  readonly vm: VmId;
  readonly zone: ZoneId;
  /** Identity of its data folder, where it has one. */
  readonly node: NodeId | null;
  /** Whether its data folder holds a log. */
  readonly hasState: boolean;
  /** Whether its settings say that the whole cell starts for the first time. */
  readonly mayFound: boolean;
}

/** What a VM knows of the cell. */
export interface LinkHelloReply extends LinkHello {
  readonly leader: VmId | null;
  /** VMs with a disk that take part in the log. */
  readonly members: readonly VmId[];
  /** Whether the VM leads, is current, and has a bundle. */
  readonly isServing: boolean;
  /** Whether the VM has a copy of the log that may be read, once it is fresh enough. */
  readonly isReadable: boolean;
  /** Index of the log up to which its state is applied; 0 without a disk. */
  readonly index: number;
}

/** Where a client's call is addressed. */
export interface QueueAddress {
  readonly host: string;
  readonly path: string;
}

/** What a client asks of a queue. */
export type WorkflowRequest =
  | (QueueAddress & {readonly kind: 'submit'; readonly spec: WorkflowSpec})
  | (QueueAddress & {readonly kind: 'get'})
  | (QueueAddress & {readonly kind: 'cancel'});

/** State of a workflow as clients see it. */
export type WorkflowView =
  'queued' | 'running' | 'done' | 'failed' | 'cancelled';

/** Answer to a client's call. */
export type WorkflowReply =
  | {readonly kind: 'accepted'}
  | {readonly kind: 'state'; readonly state: WorkflowView}
  | {readonly kind: 'pending'; readonly count: number}
  | {readonly kind: 'cancelled'}
  | {readonly kind: 'unknown_workflow'}
  | {readonly kind: 'unknown_queue'};

/** What an adviser said: the workers that may run a step, with their tickets. */
export interface AdvisedWorker {
  readonly worker: WorkerId;
  readonly ticket: string;
}

/** Answer of an adviser. */
export type AdviceReply =
  | {readonly kind: 'allowed'; readonly workers: readonly AdvisedWorker[]}
  | {readonly kind: 'busy'};

/** A reply of the leader, or the way to it. */
export type LinkLeaderReply<T> =
  /** `index` is that of the leader's state when it answered. */
  | {readonly kind: 'ok'; readonly value: T; readonly index?: number}
  | {readonly kind: 'not_leader'; readonly leader: VmId | null};

/** Requests and replies by method. */
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
  /** Asks a copy of the log, once it holds an index; it answers only what it is sure of. */
  readWorkflow: {
    request: QueueAddress & {readonly atLeast: number};
    /** The answer, and the index of the state that it was read from. */
    reply: {readonly answer: WorkflowReply | null; readonly index: number};
  };
  workflow: {request: WorkflowRequest; reply: LinkLeaderReply<WorkflowReply>};
  announceWorker: {
    request: WorkerRegistration;
    reply: LinkLeaderReply<{readonly isKnown: boolean}>;
  };
  /** Workers that have announced themselves with nothing new. */
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
    request: {readonly step: StepRef; readonly workers: readonly WorkerId[]};
    reply: AdviceReply;
  };
}

/** Name of a method. */
export type LinkMethod = keyof LinkMethods;

/** Deadline of a call to each method, in ms. */
export const LINK_METHODS: {
  readonly [M in LinkMethod]: {readonly deadlineMs: number};
} = {
  hello: {deadlineMs: 700},
  consensus: {deadlineMs: 1000},
  readIndex: {deadlineMs: 1000},
  readWorkflow: {deadlineMs: 300},
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
    }
  | {readonly kind: 'reply'; readonly id: number; readonly body: unknown}
  | {readonly kind: 'error'; readonly id: number; readonly error: ErrorBody}
  /** First frame of a stream: who calls. */
  | {readonly kind: 'open'; readonly cell: string; readonly from: VmId}
  | {readonly kind: 'ping'}
  | {readonly kind: 'pong'};

/** Largest frame, in bytes. */
export const MAX_LINK_FRAME_BYTES = 8 * 1024 * 1024;
