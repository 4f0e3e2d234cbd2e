/** Records of the log of workflows, and what comes of applying them. */
import type {Bundle, QueueName} from '../bundle/types.js';
import type {WorkerId} from '../ids/types.js';
import type {CrashEvidence} from './crashes/types.js';
import type {
  ActiveRun,
  RunEnd,
  SubmissionOrigin,
  TaskRef,
  WorkerIncarnation,
  WorkerRegistration,
  WorkflowId,
  WorkflowSpec,
} from './types.js';

/** A start that is recorded before it is sent to the worker. */
export interface RecordedStart extends ActiveRun {
  readonly task: TaskRef;
}

/** A run that is voided: abandoned without a reported end. */
export interface VoidedRun {
  readonly task: TaskRef;
  readonly run: number;
  /** Last checkpoint that its worker reported; empty without one. */
  readonly checkpoint: string;
}

/** A run that a worker's next incarnation may have begun, or may yet begin. */
export interface OrphanedRun {
  readonly worker: WorkerId;
  readonly task: TaskRef;
  readonly run: number;
}

/** Why a recorded run is voided. */
export type VoidReason =
  /** The worker refused the start, or is known never to have accepted it. */
  | 'not_started'
  /** The worker was unreachable for longer than its lease. */
  | 'lease_lapsed';

/** What proves that no run goes on at a worker that is removed. */
export type RemovalProof =
  /** It has no recorded runs; the record has no effect if it has some when applied. */
  | 'no_runs'
  /** Another process answered at its address, which only one can hold. */
  | 'replaced';

/** Records of the log. `at` is the leader's wall time, in ms since 1970. */
export type WorkflowCommand =
  | {readonly kind: 'put_bundle'; readonly bundle: Bundle}
  | ({
      readonly kind: 'submit';
      readonly id: WorkflowId;
      readonly queue: QueueName;
      readonly spec: WorkflowSpec;
      readonly at: number;
    } & SubmissionOrigin)
  | {
      readonly kind: 'cancel';
      readonly id: WorkflowId;
      readonly at: number;
      /**
       * Whether an id that no workflow has is remembered, so that a submission of it
       * that comes later is refused; absent in older records.
       */
      readonly remembers?: boolean;
    }
  | {readonly kind: 'put_worker'; readonly report: WorkerRegistration}
  | {
      readonly kind: 'remove_worker';
      readonly life: WorkerIncarnation;
      /** Last known checkpoints of the runs that end with the worker. */
      readonly runs: readonly VoidedRun[];
      /** Absent in older records, which remove the worker with all its runs. */
      readonly proof?: RemovalProof;
      /** Runs that the incarnation never listed; absent if there are none. */
      readonly orphans?: ReadonlyArray<Pick<OrphanedRun, 'task' | 'run'>>;
      /** Whether the incarnation said itself that it ends. */
      readonly isFinal?: boolean;
      /** What proves that it crashed; absent if it ended in another way. */
      readonly crash?: CrashEvidence;
    }
  | {
      readonly kind: 'start_runs';
      readonly starts: readonly RecordedStart[];
      /** Absent in older records. */
      readonly at?: number;
    }
  | {
      readonly kind: 'end_runs';
      readonly life: WorkerIncarnation;
      readonly ends: readonly RunEnd[];
      readonly at: number;
      /**
       * Whether ends of runs count that are no longer active, as they were voided;
       * absent in older records.
       */
      readonly countsVoided?: boolean;
    }
  | {
      readonly kind: 'void_runs';
      readonly life: WorkerIncarnation;
      readonly runs: readonly VoidedRun[];
      readonly reason: VoidReason;
    };

/** Result of an applied command. */
export type WorkflowResult =
  | {readonly kind: 'applied'}
  | {
      /** The version was not higher than that of the bundle in force. */
      readonly kind: 'superseded';
      readonly version: number;
    }
  /** No workflow has this id; whether it is remembered as cancelled. */
  | {readonly kind: 'no_workflow'; readonly isRemembered: boolean}
  /** The submission was not recorded, as its id had been cancelled. */
  | {readonly kind: 'cancelled_before'};
