/**
 * Placement of tasks on the workers of one zone. All times are monotonic
 * times of the zone's leader, in ms.
 */
import type {TaskEnd, JobRecord, QuotaRecord} from '../cell/types.js';
import type {Size, TaskOutcome} from '../documents/job.js';
import type {Branded, Epoch, TaskId, WorkerId} from '../ids/types.js';
import type {DecisionNote} from '../requests/types.js';

/** Name of an attempt, unique for its task: epoch and number within it. */
export type AttemptName = Branded<string, 'AttemptName'>;

/** A task and one of its attempts, as "task#attempt". */
export type AttemptKey = Branded<string, 'AttemptKey'>;

/** Builds the key of one attempt of a task. */
export const attemptKeyOf = (task: TaskId, attempt: AttemptName): AttemptKey =>
  `${task}#${attempt}` as AttemptKey;

/** State of one task in a worker's announcement. */
export interface TaskView {
  readonly task: TaskId;
  readonly attempt: AttemptName;
  readonly state: 'running' | 'stopping' | 'ended';
  readonly outcome?: TaskOutcome;
  readonly usedCpuMillis: number;
  readonly usedMemoryMb: number;
  readonly size: Size;
}

/** An announcement of a worker. */
export interface WorkerReport {
  readonly worker: WorkerId;
  readonly rack: string;
  readonly address: string;
  readonly size: Size;
  readonly state: 'serving' | 'leaving';
  readonly seq: number;
  /** The worker refuses orders based on announcements with a lower `seq`. */
  readonly fence: number;
  /** Highest epoch that the worker has seen. */
  readonly epoch: Epoch;
  readonly tasks: readonly TaskView[];
}

/** Inputs of the core. */
export type PlacementEvent =
  | {
      readonly kind: 'job';
      readonly now: number;
      readonly job: JobRecord;
      readonly index: number;
    }
  | {
      readonly kind: 'quotas';
      readonly now: number;
      readonly quotas: readonly QuotaRecord[];
    }
  | {
      readonly kind: 'report';
      readonly now: number;
      readonly report: WorkerReport;
    }
  | {
      readonly kind: 'start_refused';
      readonly now: number;
      readonly key: AttemptKey;
      readonly isDefinite: boolean;
    }
  | {
      readonly kind: 'starts_recorded';
      readonly now: number;
      readonly tasks: readonly TaskId[];
      /** Tasks whose start an earlier leader recorded and may have made. */
      readonly taken: readonly TaskId[];
    }
  /** Jobs above this log index were accepted in this leader's epoch. */
  | {readonly kind: 'barrier'; readonly now: number; readonly index: number}
  | {readonly kind: 'tick'; readonly now: number};

/** An order to start a task. */
export interface StartTask {
  readonly worker: WorkerId;
  readonly address: string;
  readonly task: TaskId;
  readonly attempt: AttemptName;
  /**
   * `seq` of the announcement from whose send time the worker counts the lease.
   */
  readonly leaseSeq: number;
  readonly size: Size;
  readonly command: string;
  readonly runMs: number;
  readonly graceMs: number;
}

/** Answer to a worker's announcement. */
export interface WorkerAnswer {
  readonly renewed: readonly AttemptKey[];
  readonly stop: readonly AttemptKey[];
  readonly acknowledged: readonly AttemptKey[];
}

/** Effects of an event. */
export type PlacementEffect =
  | {readonly kind: 'start'; readonly order: StartTask}
  | {readonly kind: 'record_starts'; readonly tasks: readonly TaskId[]}
  | {readonly kind: 'finish'; readonly ends: readonly TaskEnd[]}
  | {
      readonly kind: 'answer';
      readonly worker: WorkerId;
      readonly answer: WorkerAnswer;
    }
  | {
      readonly kind: 'retry';
      readonly task: TaskId;
      readonly why: 'task_failed' | 'task_lost';
    }
  | {
      readonly kind: 'set_aside';
      readonly worker: WorkerId;
      readonly until: number;
    };

/** Effects of one event, with the reasons for them. */
export interface PlacementStep {
  readonly effects: readonly PlacementEffect[];
  readonly notes: readonly DecisionNote[];
}

/** Timing and limits of the core. */
export interface PlacementLimits {
  /** Length of a task's lease at its worker, in ms. */
  readonly taskLeaseMs: number;
  /**
   * Added to the length of a lease before its task counts as stopped, in ms.
   */
  readonly marginMs: number;
  /** Time after which a silent worker gets no new tasks, in ms. */
  readonly announceMs: number;
  /** Waiting time that raises a job's priority by one, in ms. */
  readonly ageingMs: number;
  /** Waiting time after which a gang blocks the jobs behind it, in ms. */
  readonly gangHoldMs: number;
  /** Maximum number of jobs examined in one pass. */
  readonly maxJobsPerPass: number;
  /**
   * Number of different jobs that fail on a worker, without a success, before
   * it is set aside.
   */
  readonly failuresToSetAside: number;
  /**
   * Time for which a worker is set aside at first, in ms; doubled each time.
   */
  readonly setAsideMs: number;
  /** Time within which preempted tasks should end, in ms. */
  readonly preemptMs: number;
}

/** Default timing and limits. */
export const DEFAULT_PLACEMENT_LIMITS: PlacementLimits = {
  taskLeaseMs: 15_000,
  marginMs: 2000,
  announceMs: 5000,
  ageingMs: 60_000,
  gangHoldMs: 10_000,
  maxJobsPerPass: 200,
  failuresToSetAside: 3,
  setAsideMs: 30_000,
  preemptMs: 3000,
};

/** Priority of urgent jobs, which may preempt others. */
export const URGENT_PRIORITY = 9;
