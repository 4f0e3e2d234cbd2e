/** What the planner is told, in the form in which it is journaled. */
import type {WorkerId} from '../../ids/types.js';
import type {PendingStart} from '../planner/views.js';
import type {Ticket} from '../planner/types.js';
import type {StepKey, TaskKey, WorkflowCommand} from '../types.js';

/** What was learnt or forgotten of one step's advice; what is left out stays. */
export interface AdviceChange {
  readonly isAsking?: boolean;
  /** Workers asked about, in addition to those before. */
  readonly asked?: readonly WorkerId[];
  /** Workers that may run the step, with their tickets. */
  readonly tickets?: ReadonlyArray<readonly [WorkerId, Ticket]>;
  /** Worker whose life is over, with all that was said of it. */
  readonly forgotten?: WorkerId;
}

/** One pass with all that it weighs beside the state. */
export interface PassEvent {
  readonly kind: 'pass';
  /** Monotonic time, in ms. */
  readonly now: number;
  /** Wall time, in ms since 1970. */
  readonly wall: number;
  /** Workers that get no new task at present. */
  readonly unusable: readonly WorkerId[];
  /** Starts that are not settled. */
  readonly expected: readonly PendingStart[];
  /** Tasks that are held back, with the worker that may run them unasked. */
  readonly heldBack: ReadonlyArray<readonly [TaskKey, WorkerId]>;
  readonly stopping: readonly TaskKey[];
  /** Expected time until runs end, of those that were asked about, in ms. */
  readonly remaining: ReadonlyArray<readonly [WorkerId, TaskKey, number]>;
  /** Runs that are expected to end soon, of workers that were asked about. */
  readonly endingSoon: ReadonlyArray<readonly [WorkerId, TaskKey]>;
  readonly callerCount: number;
  /** Workers on which the pass before kept room, by step. */
  readonly reserved: ReadonlyArray<readonly [StepKey, readonly WorkerId[]]>;
}

/** What the planner is told. */
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
