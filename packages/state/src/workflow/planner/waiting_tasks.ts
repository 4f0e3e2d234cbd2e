/** Finds the tasks of a step that wait for a start. */
import {taskKeyIn} from '../refs.js';
import type {StepWork} from './step_work.js';
import type {PlanInput} from './types.js';

/** The waiting tasks of steps, given the starts that are pending in one pass. */
export class WaitingTasks {
  /** Steps with pending starts. */
  private readonly pendingSteps = new Set<string>();

  constructor(private readonly pending: PlanInput['pending']) {
    for (const key of pending.keys())
      this.pendingSteps.add(key.slice(0, key.lastIndexOf('.')));
  }

  /**
   * Indexes of the tasks to start; none for a gang of which any member is
   * active or pending.
   */
  of({
    ready,
    spec,
    state,
  }: Pick<StepWork, 'ready' | 'spec' | 'state'>): number[] {
    const waiting: number[] = [];
    if (state.idleCount === 0) return waiting;
    const hasPending = this.pendingSteps.has(ready.key);
    for (const [index, task] of state.tasks.entries()) {
      if (task.isDone) continue;
      const isActiveOrPending =
        task.active.length > 0 ||
        (hasPending && this.pending.has(taskKeyIn(ready.key, index)));
      if (isActiveOrPending) {
        if (spec.isGang) return [];
        continue;
      }
      waiting.push(index);
    }
    return waiting;
  }
}
