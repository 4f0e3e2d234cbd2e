/**
 * Finds the tasks that may run beside the recorded runs: of starts that are not
 * recorded yet, and of orphaned runs.
 */
import {taskRefOf} from '../refs.js';
import type {StepSpec, WorkflowState} from '../types.js';
import type {PlanInput} from './types.js';

/** A task that may run, by its step. */
export interface UnrecordedTask {
  readonly workflow: WorkflowState;
  readonly spec: StepSpec;
}

/** One item for each worker that may run a task and has no recorded run of it. */
export const unrecordedTasks = ({
  db,
  pending,
  mayRun = [...pending],
}: Pick<PlanInput, 'db' | 'pending' | 'mayRun'>): UnrecordedTask[] => {
  const tasks: UnrecordedTask[] = [];
  for (const [key, worker] of mayRun) {
    if (db.workers.get(worker)?.active.has(key)) continue;
    const {workflow: id, step} = taskRefOf(key);
    const workflow = db.workflows.get(id);
    const spec = workflow?.spec.steps[step];
    if (spec) tasks.push({workflow, spec});
  }
  return tasks;
};
