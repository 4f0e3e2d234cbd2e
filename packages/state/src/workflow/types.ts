/**
 * Workflows: the unit of work that a client submits. A workflow has steps, a
 * step has tasks, and each attempt at a task is a run with a number.
 */
import type {
  Branded,
  CustomerName,
  ServiceName,
  WorkerId,
  ZoneId,
} from '../ids/types.js';
import type {Bundle, Customer, Queue, QueueName} from '../bundle/types.js';
import type {RateTerms} from './admission/customer_rate.js';
import type {CancelledId} from './cancelled_ids.js';
import type {OrphanedRun} from './commands.js';
import type {CrashRecord} from './crashes/types.js';
import type {EstimatesImage} from './estimates/types.js';
import type {InterferenceImage} from './interference/types.js';

/** Id of a workflow, chosen by the client. */
export type WorkflowId = Branded<string, 'WorkflowId'>;

/** Resources that a task needs, or that a worker has. */
export interface Resources {
  /** Processor time, in thousandths of a core. */
  readonly cpuMillis: number;
  readonly memMb: number;
  readonly gpus: number;
}

/** One step: a set of identical tasks. */
export interface StepSpec {
  readonly taskCount: number;
  /** Resources of each task. */
  readonly room: Resources;
  /** The client's rough estimate of one task's duration, in ms; 0 without one. */
  readonly estimateMs: number;
  /** Indexes of earlier steps whose tasks must all be done first. */
  readonly after: readonly number[];
  /** Whether its tasks save checkpoints. */
  readonly isCheckpointable: boolean;
  /**
   * Whether the tasks make progress only while all tasks of one run are active.
   */
  readonly isGang: boolean;
  /** Whether the tasks are slower when spread over racks. */
  readonly isRackLocal: boolean;
  /** Label that a worker must have. */
  readonly requiredLabel?: string;
  /** Rack that holds the data. */
  readonly preferredRack?: string;
  /**
   * Maximum number of tasks of one occurrence on one worker; 0 for no limit.
   */
  readonly maxPerWorker: number;
  /** Whether a task may have a speculative copy that runs in parallel. */
  readonly isSpeculative: boolean;
  /** Whether the tasks run until the workflow is cancelled. */
  readonly isLongRunning: boolean;
  /** Name of the image that the tasks run; tasks of one image behave alike. */
  readonly image?: string;
  /** Target for the tail latency of a serving task, in ms; 0 without one. */
  readonly latencyTargetMs: number;
  /** Whether the tasks use only leftover resources and reserve none. */
  readonly usesLeftover: boolean;
  /**
   * Tasks of a long-running step that the scheduler may stop at the same time.
   */
  readonly maxUnavailable: number;
}

/** A workflow as the client submits it. */
export interface WorkflowSpec {
  /** Passed to each task unchanged. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  /** Number of times that the steps run; 0 and 1 mean once. */
  readonly occurrences: number;
  /** When occurrence 0 is due, in ms since 1970; 0 without a time. */
  readonly firstDueAt: number;
  /** Time between two occurrences, in ms. */
  readonly intervalMs: number;
}

/** Identifies a step of one occurrence. */
export interface StepRef {
  readonly workflow: WorkflowId;
  readonly occurrence: number;
  readonly step: number;
}

/** Identifies a task. */
export interface TaskRef extends StepRef {
  readonly index: number;
}

/** Map key of a task. */
export type TaskKey = Branded<string, 'TaskKey'>;
/** Map key of a step. */
export type StepKey = Branded<string, 'StepKey'>;

/** One incarnation of a worker. A restarted worker keeps no state. */
export interface WorkerIncarnation {
  readonly worker: WorkerId;
  /** Start of this incarnation, in ms since 1970. */
  readonly bornAt: number;
}

/** A worker's description of itself. */
export interface WorkerRegistration extends WorkerIncarnation {
  readonly address: string;
  readonly pool: ServiceName;
  readonly zone: ZoneId;
  readonly room: Resources;
  readonly labels: readonly string[];
  /** Rack of the worker; absent when it is not known. */
  readonly rack?: string;
  readonly isDraining: boolean;
  /** Minimum time until a draining worker leaves, in ms; 0 when unknown. */
  readonly remainingMs: number;
  /** Sequence number of the report within this incarnation; increasing. */
  readonly sequence: number;
  /**
   * Whether it has deregistered: its runs are stopped and its lease is not
   * renewed. It is removed once they are over.
   */
  readonly isLeaving?: boolean;
}

/** How a run ended. */
export type RunOutcome =
  | 'done'
  | 'failed'
  /** Stopped on request. */
  | 'stopped'
  /** Its lease expired. */
  | 'lapsed'
  /** Another member of its gang ended. */
  | 'broken'
  /** The other members of its gang did not start in time. */
  | 'alone';

/** End of a run, as its worker reports it. */
export interface RunEnd {
  /** Sequence number within the worker's incarnation; increasing. */
  readonly sequence: number;
  readonly task: TaskRef;
  readonly run: number;
  readonly outcome: RunOutcome;
  /** Checkpoint from which the task can resume; empty without one. */
  readonly checkpoint: string;
}

/** A run that may be active on a worker. */
export interface ActiveRun extends WorkerIncarnation {
  readonly run: number;
}

/** Where and when a run of a task failed. */
export interface FailedRun {
  readonly worker: WorkerId;
  /** Rack of the worker; absent when it is not known. */
  readonly rack?: string;
  /** Wall time of its record, in ms since 1970. */
  readonly at: number;
}

/** State of a task. */
export interface TaskState {
  isDone: boolean;
  /** Number of the latest run; 0 before the first. */
  lastRun: number;
  /** Number of runs that ended as failed. */
  failures: number;
  /** Latest checkpoint; empty without one. */
  checkpoint: string;
  /** Number of the run that wrote the checkpoint; 0 without one. */
  checkpointRun: number;
  active: ActiveRun[];
  /** Its latest failed runs, a few at most; absent without any. */
  failedRuns?: readonly FailedRun[];
}

/** State of a step of one occurrence. */
export interface StepState {
  tasks: TaskState[];
  doneCount: number;
  /** Number of tasks that are not done and have no active run. */
  idleCount: number;
  /** Number of failed runs of the gang as a whole. */
  gangFailures: number;
  /** Number of the latest gang run that was counted as failed. */
  lastFailedRun: number;
}

/** Whether a workflow is open or how it ended. */
export type WorkflowPhase = 'open' | 'done' | 'failed' | 'cancelled';

/** Origin of a submission; absent fields are not known or do not apply. */
export interface SubmissionOrigin {
  /** Customer whose key the client gave. */
  readonly customer?: CustomerName;
  /** Availability zone of the entry that took the call. */
  readonly zone?: ZoneId;
  /**
   * Whether it was accepted beyond the rate of its customer, while there was
   * room.
   */
  readonly isBeyondRate?: boolean;
}

/** State of a workflow. */
export interface WorkflowState extends SubmissionOrigin {
  readonly id: WorkflowId;
  readonly queue: QueueName;
  /** Emptied once the workflow has ended and has no active runs. */
  spec: WorkflowSpec;
  /** Wall time at which it was accepted, in ms since 1970. */
  readonly acceptedAt: number;
  phase: WorkflowPhase;
  /** Wall time of the end, in ms since 1970; 0 while open. */
  endedAt: number;
  /** Whether any task was ever started. */
  hasStarted: boolean;
  /** Steps by occurrence; created when the occurrence's first task starts. */
  occurrences: Map<number, StepState[]>;
  /** Number of runs of its tasks that may be active. */
  activeRuns: number;
  /** The crashes of workers for which it was given up; absent otherwise. */
  crashes?: CrashRecord;
}

/** A run that may be active on a worker, as kept with that worker. */
export interface WorkerRun {
  readonly task: TaskRef;
  readonly run: number;
  /** Wall time of its record, in ms since 1970; absent in older records. */
  readonly startedAt?: number;
}

/** State of a registered worker. */
export interface WorkerState {
  report: WorkerRegistration;
  /** Highest sequence number of a run end that is recorded. */
  endsRecorded: number;
  /** Runs that may be active, by task. */
  active: Map<TaskKey, WorkerRun>;
  /** Resources that these runs hold. */
  used: Resources;
  /** The preemptible runs among them. */
  yielding: Map<TaskKey, PreemptibleRun>;
  /** Resources that the preemptible runs hold, by queue. */
  yieldingRoom: Map<QueueName, Resources>;
  /**
   * Upper bound on the processor time that one of them holds, in thousandths of
   * a core; not lowered when that run ends, unless it was the last.
   */
  yieldingMaxCpu: number;
  /**
   * Wall time of the record of its latest run that ended as done, in ms since
   * 1970; absent before the first.
   */
  lastDoneAt?: number;
}

/** A run that can be preempted at no more than the cost of a restart. */
export interface PreemptibleRun {
  readonly task: TaskRef;
  readonly run: number;
  readonly room: Resources;
  readonly workflow: WorkflowState;
  /** Time at which its occurrence was due to start, in ms since 1970. */
  readonly startDueAt: number;
  /** Critical path of the workflow, and from the run's step on, in ms. */
  readonly longestChainMs: number;
  readonly chainMs: number;
}

/** End of a workflow, as seen by whoever applied the record of it. */
export interface WorkflowEnd {
  readonly id: WorkflowId;
  readonly queue: QueueName;
  readonly phase: Exclude<WorkflowPhase, 'open'>;
  /** Wall times in ms since 1970, as recorded. */
  readonly acceptedAt: number;
  readonly endedAt: number;
  /** When its last occurrence was due, by its estimates; in ms since 1970. */
  readonly dueAt: number;
}

/** Options of `WorkflowDb`. */
export interface WorkflowDbOptions {
  /** How long an ended workflow stays readable, in ms. */
  readonly keepEndedMs: number;
  /** Terms of the rates of customers. */
  readonly rate: RateTerms;
}

/** Serializable image of the whole state. */
export interface WorkflowImage {
  readonly index: number;
  /** Ids cancelled before their submission; absent in older images, or without any. */
  readonly cancelled?: readonly CancelledId[];
  /** Incarnations that have ended for good; absent in older images. */
  readonly departed?: readonly WorkerIncarnation[];
  /** Runs that next incarnations may have begun; absent in older images. */
  readonly orphans?: readonly OrphanedRun[];
  /** Crashes under tasks that are not given up; absent in older images. */
  readonly crashes?: readonly CrashRecord[];
  /** Learned run times and speeds; absent in older images, or without any. */
  readonly estimates?: EstimatesImage;
  /** Learned disturbance; absent in older images, or without any. */
  readonly interference?: InterferenceImage;
  readonly bundle: Bundle | null;
  readonly queues: readonly Queue[];
  /** Customers with their last terms; absent in images without any. */
  readonly customers?: readonly Customer[];
  /** Dropped customers without work; absent in older images, or without any. */
  readonly droppedCustomers?: readonly Customer[];
  readonly workflows: ReadonlyArray<
    Omit<WorkflowState, 'occurrences' | 'activeRuns'> & {
      /** Read by earlier versions only: it is derived from `occurrences`. */
      readonly doneOccurrences: number;
      readonly occurrences: ReadonlyArray<
        readonly [number, ReadonlyArray<Omit<StepState, 'idleCount'>>]
      >;
    }
  >;
  readonly workers: ReadonlyArray<
    Omit<
      WorkerState,
      'active' | 'used' | 'yielding' | 'yieldingRoom' | 'yieldingMaxCpu'
    > & {
      readonly active: readonly WorkerRun[];
    }
  >;
}
