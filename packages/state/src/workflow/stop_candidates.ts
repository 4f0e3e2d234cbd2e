/**
 * Runs that may have to be stopped, kept up as records are applied: of ended
 * workflows, of tasks that are done, and of gangs, which break when one member
 * is gone. All other runs simply go on, and a pass need not look at them.
 */
import {stepKey, stepRefOf, taskKey} from './refs.js';
import type {StepKey, StepRef, TaskKey, TaskRef, WorkflowId} from './types.js';

/** Index of the runs to look at. */
export class StopCandidates {
  /** Workflows that have ended and still have runs under way. */
  readonly ending = new Set<WorkflowId>();
  /** Tasks that are done and of which copies still run. */
  readonly doneWithRuns = new Map<TaskKey, TaskRef>();
  /** Gang steps with runs under way. */
  readonly gangs = new Map<StepKey, StepRef>();

  /** Forgets all. */
  clear(): void {
    this.ending.clear();
    this.doneWithRuns.clear();
    this.gangs.clear();
  }

  /** Notes that a run of a task is under way. */
  add(
    task: TaskRef,
    {isGang, isDone}: Record<'isGang' | 'isDone', boolean>,
  ): void {
    if (isGang) this.gangs.set(stepKey(task), stepRefOf(task));
    else if (isDone) this.doneWithRuns.set(taskKey(task), task);
  }

  /** Notes that no run of a task is under way any more. */
  remove(task: TaskRef, isStepIdle: boolean): void {
    this.doneWithRuns.delete(taskKey(task));
    if (isStepIdle) this.gangs.delete(stepKey(task));
  }
}
