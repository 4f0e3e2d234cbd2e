/** Inputs and decisions of the planner. */
import type {CustomerName, WorkerId} from '../../ids/types.js';
import type {WorkflowDb} from '../db.js';
import type {RecordedStart} from '../commands.js';
import type {
  Resources,
  StepKey,
  StepRef,
  TaskKey,
  WorkerIncarnation,
} from '../types.js';
import type {StepWork} from './step_work.js';

/** The leader's current view of a worker; a pass updates its resources. */
export interface WorkerView extends WorkerIncarnation {
  readonly pool: string;
  readonly room: Resources;
  readonly labels: ReadonlySet<string>;
  readonly rack?: string;
  /**
   * Resources that no run holds; stopping runs still count as holding theirs.
   */
  free: Resources;
  /** Resources of the empty worker less those reserved for waiting steps. */
  unreserved: Resources;
  /** Resources reserved for gangs; preemptible tasks may use them meanwhile. */
  kept: Resources;
  /** Priority of the most urgent of these gangs; lower is more urgent. */
  keptPriority: number;
  /** Whether new tasks may be sent to it now. */
  readonly isUsable: boolean;
}

/**
 * Permission of a queue's adviser to run a step on one incarnation of a worker.
 */
export interface Ticket {
  readonly bornAt: number;
  readonly text: string;
  /** Monotonic time until which the worker accepts it, in ms. */
  readonly validUntil: number;
}

/** The adviser's answers about one step. */
export interface StepAdvice {
  /** Workers that the adviser was queried about so far. */
  readonly asked: ReadonlySet<WorkerId>;
  /**
   * Workers that may run the step. The adviser's answer for a worker is final.
   */
  readonly allowed: ReadonlySet<WorkerId>;
  readonly tickets: ReadonlyMap<WorkerId, Ticket>;
  /** Whether a call about the step is in progress. */
  readonly isAsking: boolean;
}

/** How a pass judges the workers for a step whose turn it is. */
export interface StepScoring {
  /** Workers that may run the step, as far as its adviser has answered. */
  readonly allowed: readonly WorkerView[];
  /** Those of them that are not kept for suspects of crashes. */
  readonly quiet: readonly WorkerView[];
  /** Lowest best; undefined for a worker on which a task does not fit now. */
  readonly scoreOf: (worker: WorkerView) => number | undefined;
}

/** Inputs of one pass. */
export interface PlanInput {
  readonly db: WorkflowDb;
  /** Monotonic time, in ms. */
  readonly now: number;
  /** Wall time, in ms since 1970. */
  readonly wall: number;
  readonly workers: ReadonlyMap<WorkerId, WorkerView>;
  /**
   * Tasks whose start is proposed or sent and not yet settled, with the worker.
   */
  readonly pending: ReadonlyMap<TaskKey, WorkerId>;
  /**
   * Where tasks may run beside recorded runs: starts that are not settled, and
   * tasks held back for orphaned runs. By default the pending tasks; a task can be
   * here twice.
   */
  readonly mayRun?: ReadonlyArray<readonly [TaskKey, WorkerId]>;
  /** Tasks whose run was told to stop and has not ended yet. */
  readonly stopping: ReadonlySet<TaskKey>;
  /** Expected time until a run completes, in ms; undefined when unknown. */
  readonly remainingMs: (worker: WorkerId, task: TaskKey) => number | undefined;
  /** Runs on a worker that are expected to end within ENDING_SOON_MS. */
  readonly endsSoon: (worker: WorkerId) => ReadonlySet<TaskKey>;
  /** Workers on which the previous pass reserved resources, by step. */
  readonly reserved: Plan['reserved'];
  /** Monotonic time at which runs were last preempted for a waiting gang, in ms. */
  readonly preemptedAt: Plan['preemptedAt'];
  readonly adviceOf: (step: StepKey) => StepAdvice | undefined;
  /** Number of VMs that can call advisers, each one call at a time. */
  readonly callerCount: number;
  /** Whether useless work is deferred in a bundle without customers. */
  readonly mayDeferUseless?: boolean;
  /** Whether zones take turns where a pool is full. */
  readonly mayShareZones?: boolean;
  /** Whether later attempts avoid workers where the task failed. */
  readonly mayAvoidFailed?: boolean;
  /** Called for each step when its turn comes; for explanations only. */
  readonly onTurn?: (work: StepWork, scoring: () => StepScoring) => void;
}

/** What a run is expected to take on its worker. */
export interface StartExpectation {
  readonly ms: number;
  /** Speed of the worker relative to others; 1 while speeds are even. */
  readonly speed: number;
}

/** A start to record and then send to the worker. */
export interface PlannedStart extends RecordedStart {
  readonly checkpoint: string;
  readonly ticket?: string;
  /** Given once run times or speeds are learned; for explanations only. */
  readonly expected?: StartExpectation;
}

/** A step and the workers that its adviser must be queried about. */
export interface AdviceRequest {
  readonly step: StepRef;
  readonly workers: readonly WorkerId[];
}

/** A run to stop. */
export interface PlannedStop extends RecordedStart {
  readonly why:
    | 'workflow_ended'
    | 'task_done'
    | 'gang_broken'
    | 'stalled'
    | 'preempted'
    /** Its worker leaves before the run would end. */
    | 'evacuated';
  /** The preemptor: the step for which the run is preempted. */
  readonly inFavourOf?: StepKey;
}

/** Why tasks of a step wait. */
export type WaitReason =
  /** The adviser has not answered yet, or allows no usable worker. */
  | 'advice'
  /** Steps before it use all slots for calls to the adviser. */
  | 'advice_turn'
  /** Tickets of the chosen workers have expired and are being renewed. */
  | 'tickets'
  /** No worker has free resources now; a gang gets them reserved. */
  | 'room'
  /** Its tasks have failed elsewhere, and no worker for the next attempt has room. */
  | 'attempt'
  /** A worker has crashed under it, and no worker is quiet enough for it now. */
  | 'quarantine'
  /** The gang would not fit even on empty workers. */
  | 'never_fits_now'
  /** The cap of its customer does not allow more to run now. */
  | 'cap';

/** What a suspect waits for. */
export interface SuspectWait {
  /** Number of suspects of the cell, whether they wait or not. */
  readonly suspectCount: number;
  /** Wall time of the latest crash under it, in ms since 1970. */
  readonly since: number;
  /**
   * Wall time at which a worker that could take it will be quiet, if nothing else
   * is started there, in ms since 1970; absent if none has room for it.
   */
  readonly quietAt?: number;
}

/** A cap that holds tasks back. */
export interface CapWait {
  readonly customer: CustomerName;
  /** Resources that the customer may have running. */
  readonly used: Resources;
  /** Its cap; 0 for no limit. */
  readonly allowed: Resources;
}

/** A step with waiting tasks. */
export interface PlannedWait {
  readonly step: StepRef;
  readonly why: WaitReason;
  readonly taskCount: number;
  /** Number of workers that may run the step and are usable now. */
  readonly candidateCount: number;
  /** Given if it waits in quarantine. */
  readonly suspect?: SuspectWait;
  /** Given if the cap of its customer holds it back. */
  readonly cap?: CapWait;
}

/** Decisions of one pass. */
export interface Plan {
  readonly starts: readonly PlannedStart[];
  readonly stops: readonly PlannedStop[];
  readonly advice: readonly AdviceRequest[];
  readonly waits: readonly PlannedWait[];
  /** Workers on which resources are reserved, by the waiting step. */
  readonly reserved: ReadonlyMap<StepKey, ReadonlySet<WorkerId>>;
  /**
   * Monotonic time at which runs were last preempted for a gang that has not
   * started, in ms; a while ago at most.
   */
  readonly preemptedAt: ReadonlyMap<StepKey, number>;
}

/** A step whose tasks or copies may start. */
export interface ReadyStep {
  readonly ref: StepRef;
  readonly key: StepKey;
  readonly priority: number;
  /** Wall time by which the workflow should be done, in ms since 1970. */
  readonly dueAt: number;
  /** Whether the workflow would be late even if the step started now. */
  readonly isLate: boolean;
  /** Whether the step is within the guaranteed share of its queue. */
  readonly isCounted?: boolean;
  /** Whether its workflow can no longer be useful, and gives way to others. */
  readonly isUseless?: boolean;
}
