/** What the planner weighs, and what it decides. */
import type {WorkerId} from '../../ids/types.js';
import type {WorkflowDb} from '../db.js';
import type {
  RecordedStart,
  Resources,
  StepKey,
  StepRef,
  TaskKey,
  WorkerIncarnation,
} from '../types.js';

/** A worker as the leader sees it at present. */
export interface WorkerView extends WorkerIncarnation {
  readonly pool: string;
  readonly room: Resources;
  readonly labels: ReadonlySet<string>;
  readonly rack?: string;
  /** Room that nothing holds, with what is stopping counted as held. */
  free: Resources;
  /** Room of the empty worker that no waiting gang has reserved. */
  unreserved: Resources;
  /** Room kept for gangs, which tasks that can give way may use until then. */
  kept: Resources;
  /** Priority of the most urgent of these gangs. */
  keptPriority: number;
  /** Whether new tasks may be sent to it now. */
  readonly isUsable: boolean;
}

/** Permission of a queue's adviser to run a step on one life of a worker. */
export interface Ticket {
  readonly bornAt: number;
  readonly text: string;
  /** Monotonic time until which the worker takes it, in ms. */
  readonly validUntil: number;
}

/** What the adviser has said of one step. */
export interface StepAdvice {
  /** Workers asked about so far. */
  readonly asked: ReadonlySet<WorkerId>;
  /** Workers that may run the step. The answer does not change. */
  readonly allowed: ReadonlySet<WorkerId>;
  readonly tickets: ReadonlyMap<WorkerId, Ticket>;
  /** Whether a call about the step is under way. */
  readonly isAsking: boolean;
}

/** Inputs of one pass. */
export interface PlanInput {
  readonly db: WorkflowDb;
  /** Monotonic time, in ms. */
  readonly now: number;
  /** Wall time, in ms since 1970. */
  readonly wall: number;
  readonly workers: ReadonlyMap<WorkerId, WorkerView>;
  /** Workers of the tasks whose start is proposed or ordered, and not yet settled. */
  readonly pending: ReadonlyMap<TaskKey, WorkerId>;
  /** Tasks whose run is ordered to stop, and has not ended yet. */
  readonly stopping: ReadonlySet<TaskKey>;
  /** Expected time until a run ends by itself, in ms; undefined when unknown. */
  readonly remainingMs: (worker: WorkerId, task: TaskKey) => number | undefined;
  /** Runs on a worker that are expected to end within SOON_MS. */
  readonly endsSoon: (worker: WorkerId) => ReadonlySet<TaskKey>;
  /** Workers on which the last pass kept room. */
  readonly reserved: Plan['reserved'];
  readonly adviceOf: (step: StepKey) => StepAdvice | undefined;
  /** VMs that can call advisers, each one call at a time. */
  readonly callerCount: number;
}

/** A start to record and order. */
export interface PlannedStart extends RecordedStart {
  readonly checkpoint: string;
  readonly ticket?: string;
}

/** A step whose adviser must be asked. */
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
    /** Its worker leaves before it would end. */
    | 'evacuated';
  /** Step that the run gives way to, where it is preempted. */
  readonly inFavourOf?: StepKey;
}

/** Why tasks of a step wait. */
export type WaitReason =
  /** The adviser has not answered, or allows no worker that is usable. */
  | 'advice'
  /** Steps before it use the turns at the adviser. */
  | 'advice_turn'
  /** Tickets of the chosen workers have lapsed and are asked for again. */
  | 'tickets'
  /** No worker has room now; room is kept where the step is a gang. */
  | 'room'
  /** Even empty workers could not hold the gang. */
  | 'never_fits_now';

/** A step whose tasks wait. */
export interface PlannedWait {
  readonly step: StepRef;
  readonly why: WaitReason;
  readonly taskCount: number;
  /** Workers that may run the step and can be used now. */
  readonly candidateCount: number;
}

/** Decisions of one pass. */
export interface Plan {
  readonly starts: readonly PlannedStart[];
  readonly stops: readonly PlannedStop[];
  readonly advice: readonly AdviceRequest[];
  readonly waits: readonly PlannedWait[];
  /** Workers on which room is kept, by the gang that waits for it. */
  readonly reserved: ReadonlyMap<StepKey, ReadonlySet<WorkerId>>;
}

/** A step whose tasks may start. */
export interface ReadyStep {
  readonly ref: StepRef;
  readonly key: StepKey;
  readonly priority: number;
  /** Wall time by which the workflow should be done, in ms since 1970. */
  readonly dueAt: number;
  /** Whether the workflow would be late even if the step started now. */
  readonly isLate: boolean;
  /** Whether its queue can count on the room that it waits for. */
  readonly isCounted?: boolean;
}
