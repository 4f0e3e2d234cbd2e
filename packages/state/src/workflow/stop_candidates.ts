/**
 * Index of the runs that may have to be stopped, updated as records are
 * applied: runs of ended workflows, of tasks that are done, and of gangs, which
 * break when one member is gone. A pass need not look at any other run.
 */
import {stepKey, stepRefOf, taskKey} from './refs.js';
import type {StepKey, StepRef, TaskKey, TaskRef, WorkflowId} from './types.js';

/** Workflows, tasks and gangs whose runs a pass checks. */
export class StopCandidates {
  /** Workflows that have ended and still have active runs. */
  readonly ending = new Set<WorkflowId>();
  /** Tasks that are done and still have an active copy. */
  readonly doneWithRuns = new Map<TaskKey, TaskRef>();
  /** Gang steps with active runs. */
  readonly gangs = new Map<StepKey, StepRef>();

  clear(): void {
    this.ending.clear();
    this.doneWithRuns.clear();
    this.gangs.clear();
  }

  /** Adds a task with an active run. */
  add(
    task: TaskRef,
    {isGang, isDone}: Record<'isGang' | 'isDone', boolean>,
  ): void {
    if (isGang) this.gangs.set(stepKey(task), stepRefOf(task));
    else if (isDone) this.doneWithRuns.set(taskKey(task), task);
  }

  /** Removes a task without active runs, and its gang if that has none left. */
  remove(task: TaskRef, isStepIdle: boolean): void {
    this.doneWithRuns.delete(taskKey(task));
    if (isStepIdle) this.gangs.delete(stepKey(task));
  }
}
