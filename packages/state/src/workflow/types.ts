/**
 * Workflows: what a client hands in as one piece of work. A workflow has
 * steps, a step has tasks, and each start of a task is a run with a number.
 */
import type {Branded, ServiceName, WorkerId, ZoneId} from '../ids/types.js';
import type {Bundle, Queue, QueueName} from '../bundle/types.js';

/** Id of a workflow, chosen by the client. */
export type WorkflowId = Branded<string, 'WorkflowId'>;

/** Room that a task takes, or that a worker has. */
export interface Resources {
  /** Processor time, in thousandths of a core. */
  readonly cpuMillis: number;
  readonly memMb: number;
  readonly gpus: number;
}

/** One step: tasks of one kind. */
export interface StepSpec {
  readonly taskCount: number;
  /** Room for each task. */
  readonly room: Resources;
  /** The client's rough estimate of one task's duration, in ms; 0 without one. */
  readonly estimateMs: number;
  /** Earlier steps whose tasks must all be done first. */
  readonly after: readonly number[];
  /** Whether its tasks save their progress. */
  readonly isCheckpointable: boolean;
  /** Whether the tasks work only while all of one run are present. */
  readonly isGang: boolean;
  /** Whether the tasks are slower when spread over racks. */
  readonly isRackLocal: boolean;
  /** Label that a worker must have. */
  readonly requiredLabel?: string;
  /** Rack that holds the data. */
  readonly preferredRack?: string;
  /** Most tasks of one occurrence of the step on one worker; 0 for no bound. */
  readonly maxPerWorker: number;
  /** Whether copies of a task may run in parallel. */
  readonly isSpeculative: boolean;
  /** Whether the tasks run until the workflow is cancelled. */
  readonly isLongRunning: boolean;
  /** Names what the tasks run; tasks of one image behave alike. */
  readonly image?: string;
  /** Bound on the tail latency of a task that serves, in ms; 0 without one. */
  readonly latencyTargetMs: number;
  /** Whether the tasks only use what others leave, and take no room. */
  readonly usesLeftover: boolean;
  /** Tasks of a long-running step that may be away at once by our doing. */
  readonly maxUnavailable: number;
}

/** What a client hands in. */
export interface WorkflowSpec {
  /** Passed to each task as it is. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  /** How often the steps run; 0 and 1 mean once. */
  readonly occurrences: number;
  /** When occurrence 0 is due, in ms since 1970; 0 without a time. */
  readonly firstDueAt: number;
  /** Time between two occurrences, in ms. */
  readonly intervalMs: number;
}

/** Names a step of one occurrence. */
export interface StepRef {
  readonly workflow: WorkflowId;
  readonly occurrence: number;
  readonly step: number;
}

/** Names a task. */
export interface TaskRef extends StepRef {
  readonly index: number;
}

/** Key of a task in maps. */
export type TaskKey = Branded<string, 'TaskKey'>;
/** Key of a step in maps. */
export type StepKey = Branded<string, 'StepKey'>;

/** One life of a worker. A worker that starts again knows nothing of before. */
export interface WorkerIncarnation {
  readonly worker: WorkerId;
  /** Start of this life, in ms since 1970. */
  readonly bornAt: number;
}

/** What a worker says of itself. */
export interface WorkerRegistration extends WorkerIncarnation {
  readonly address: string;
  readonly pool: ServiceName;
  readonly zone: ZoneId;
  readonly room: Resources;
  readonly labels: readonly string[];
  /** Rack of the worker; absent when it is not known. */
  readonly rack?: string;
  readonly isDraining: boolean;
  /** Least time until a draining worker leaves, in ms; 0 when unknown. */
  readonly remainingMs: number;
  /** Number of the report within this life; later ones are higher. */
  readonly sequence: number;
}

/** How a run ended. */
export type RunOutcome =
  | 'done'
  | 'failed'
  /** Stopped by an order. */
  | 'stopped'
  /** Its lease ran out. */
  | 'lapsed'
  /** Another member of its gang ended. */
  | 'broken'
  /** The rest of its gang did not come in time. */
  | 'alone';

/** End of a run, as its worker lists it. */
export interface RunEnd {
  /** Number of the end within the worker's life; later ones are higher. */
  readonly sequence: number;
  readonly task: TaskRef;
  readonly run: number;
  readonly outcome: RunOutcome;
  /** Checkpoint from which the task can go on; empty without one. */
  readonly checkpoint: string;
}

/** A run that may be under way. */
export interface ActiveRun extends WorkerIncarnation {
  readonly run: number;
}

/** State of a task. */
export interface TaskState {
  isDone: boolean;
  /** Number of the last run; 0 before the first. */
  lastRun: number;
  /** Runs that ended as failed. */
  failures: number;
  /** Latest checkpoint; empty without one. */
  checkpoint: string;
  /** Number of the run that wrote the checkpoint; 0 without one. */
  checkpointRun: number;
  active: ActiveRun[];
}

/** State of a step of one occurrence. */
export interface StepState {
  tasks: TaskState[];
  doneCount: number;
  /** Tasks that are not done and that nothing runs. */
  idleCount: number;
  /** Runs of the whole gang that failed. */
  gangFailures: number;
  /** Number of the gang's last run that was counted as failed. */
  lastFailedRun: number;
}

/** Whether a workflow goes on. */
export type WorkflowPhase = 'open' | 'done' | 'failed' | 'cancelled';

/** State of a workflow. */
export interface WorkflowState {
  readonly id: WorkflowId;
  readonly queue: QueueName;
  /** Without steps once the workflow has ended and runs nothing. */
  spec: WorkflowSpec;
  /** Wall time of the acceptance, in ms since 1970. */
  readonly acceptedAt: number;
  phase: WorkflowPhase;
  /** Wall time of the end, in ms since 1970; 0 while open. */
  endedAt: number;
  /** Whether any task was ever started. */
  hasStarted: boolean;
  /** Steps by occurrence; made when the occurrence's first task starts. */
  occurrences: Map<number, StepState[]>;
  /** Occurrences whose steps are all done. */
  doneOccurrences: number;
  /** Runs of its tasks that may be under way. */
  activeRuns: number;
}

/** A worker that has announced itself. */
export interface WorkerState {
  report: WorkerRegistration;
  /** Highest number of an end that is recorded. */
  endsRecorded: number;
  /** Runs that may be under way, by task. */
  active: Map<TaskKey, {readonly task: TaskRef; readonly run: number}>;
  /** Room that these runs hold. */
  used: Resources;
  /** Those of them that can give way. */
  yielding: Map<TaskKey, PreemptibleRun>;
  /** Room that these hold, by queue. */
  yieldingRoom: Map<QueueName, Resources>;
  /** Most processor that one of them holds; it may have ended since. */
  yieldingMaxCpu: number;
}

/** A run that can give way at no more than the time of a restart. */
export interface PreemptibleRun {
  readonly task: TaskRef;
  readonly run: number;
  readonly room: Resources;
  readonly workflow: WorkflowState;
  /** When its occurrence was due to start, in ms since 1970. */
  readonly startDueAt: number;
  /** Longest chain of the workflow, and from its step to the end, in ms. */
  readonly longestChainMs: number;
  readonly chainMs: number;
}

/** A start that is recorded before it is ordered. */
export interface RecordedStart extends ActiveRun {
  readonly task: TaskRef;
}

/** A run that is given up without an end. */
export interface VoidedRun {
  readonly task: TaskRef;
  readonly run: number;
  /** Last checkpoint that its worker listed; empty without one. */
  readonly checkpoint: string;
}

/** Why a run that was recorded is given up without an end. */
export type VoidReason =
  /** The worker refused the order, or proved never to have taken it. */
  | 'not_started'
  /** The worker was away for longer than its lease. */
  | 'lease_lapsed';

/** Records of the log. `at` is the leader's wall time, in ms since 1970. */
export type WorkflowCommand =
  | {readonly kind: 'put_bundle'; readonly bundle: Bundle}
  | {
      readonly kind: 'submit';
      readonly id: WorkflowId;
      readonly queue: QueueName;
      readonly spec: WorkflowSpec;
      readonly at: number;
    }
  | {readonly kind: 'cancel'; readonly id: WorkflowId; readonly at: number}
  | {readonly kind: 'put_worker'; readonly report: WorkerRegistration}
  | {
      readonly kind: 'remove_worker';
      readonly life: WorkerIncarnation;
      /** What is known of the runs that end with the worker. */
      readonly runs: readonly VoidedRun[];
    }
  | {readonly kind: 'start_runs'; readonly starts: readonly RecordedStart[]}
  | {
      readonly kind: 'end_runs';
      readonly life: WorkerIncarnation;
      readonly ends: readonly RunEnd[];
      readonly at: number;
    }
  | {
      readonly kind: 'void_runs';
      readonly life: WorkerIncarnation;
      readonly runs: readonly VoidedRun[];
      readonly reason: VoidReason;
    };

/** Answer to a command, once it is applied. */
export type WorkflowResult =
  | {readonly kind: 'applied'}
  | {
      /** The bundle was not higher than the one in force. */
      readonly kind: 'superseded';
      readonly version: number;
    }
  /** No workflow has this id. */
  | {readonly kind: 'no_workflow'};

/** Options of the state. */
export interface WorkflowDbOptions {
  /** How long an ended workflow is kept for questions, in ms. */
  readonly keepEndedMs: number;
}

/** Plain image of the whole state. */
export interface WorkflowImage {
  readonly index: number;
  readonly bundle: Bundle | null;
  readonly queues: readonly Queue[];
  readonly workflows: ReadonlyArray<
    Omit<WorkflowState, 'occurrences' | 'activeRuns'> & {
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
      readonly active: ReadonlyArray<{
        readonly task: TaskRef;
        readonly run: number;
      }>;
    }
  >;
}
