/** Events of the planner, in the form in which they are journaled. */
import type {WorkerId} from '../../ids/types.js';
import type {PendingStart} from '../planner/views.js';
import type {Ticket} from '../planner/types.js';
import type {WorkflowCommand} from '../commands.js';
import type {StepKey, TaskKey} from '../types.js';

/** Change to the advice about one step; absent fields are left unchanged. */
export interface AdviceChange {
  readonly isAsking?: boolean;
  /**
   * Workers that the adviser was queried about, in addition to earlier ones.
   */
  readonly asked?: readonly WorkerId[];
  /** Workers that may run the step, with their tickets. */
  readonly tickets?: ReadonlyArray<readonly [WorkerId, Ticket]>;
  /** Whether all advice about the step is dropped, as its workflow was not recorded. */
  readonly isDropped?: boolean;
  /** Worker whose incarnation ended; all advice about it is dropped. */
  readonly forgotten?: WorkerId;
}

/**
 * One pass with all its inputs other than the replicated state and the advice.
 */
export interface PassEvent {
  readonly kind: 'pass';
  /** Monotonic time, in ms. */
  readonly now: number;
  /** Wall time, in ms since 1970. */
  readonly wall: number;
  /** Workers that currently get no new tasks. */
  readonly unusable: readonly WorkerId[];
  /** Starts that are proposed or sent, and not yet settled. */
  readonly expected: readonly PendingStart[];
  /**
   * Tasks held back because a worker may have an orphaned run of them, with
   * that worker.
   */
  readonly heldBack: ReadonlyArray<readonly [TaskKey, WorkerId]>;
  readonly stopping: readonly TaskKey[];
  /**
   * Expected time until a run ends, in ms, for the runs that the pass queried.
   */
  readonly remaining: ReadonlyArray<readonly [WorkerId, TaskKey, number]>;
  /**
   * Runs that are expected to end soon, on the workers that the pass queried.
   */
  readonly endingSoon: ReadonlyArray<readonly [WorkerId, TaskKey]>;
  readonly callerCount: number;
  /** Whether useless work is deferred in a bundle without customers; else absent. */
  readonly mayDeferUseless?: boolean;
  /** Whether zones take turns where a pool is full. */
  readonly mayShareZones?: boolean;
  /** Whether later attempts avoid workers where the task failed. */
  readonly mayAvoidFailed?: boolean;
  /** Workers on which the previous pass reserved resources, by step. */
  readonly reserved: ReadonlyArray<readonly [StepKey, readonly WorkerId[]]>;
  /** When runs were last preempted for each waiting gang; absent in older journals. */
  readonly preemptedAt?: ReadonlyArray<readonly [StepKey, number]>;
}

/** An event that the planner handles. */
export type PlannerEvent =
  | {
      readonly kind: 'record';
      readonly index: number;
      readonly command: WorkflowCommand;
    }
  | {
      readonly kind: 'advice';
      readonly step: StepKey;
      readonly change: AdviceChange;
    }
  | PassEvent;
