/**
 * Limits on the size of one workflow. Every voter holds a record for each task
 * and replays it after a restart, so a workflow that is too large for one
 * process would crash all voters repeatedly.
 */
import {occurrenceCount} from '../task_state.js';
import type {WorkflowSpec} from '../types.js';

/** Maximum number of steps of a workflow, over all occurrences. */
export const MAX_STEPS = 10_000;
/** Maximum number of tasks of a workflow, over all occurrences. */
export const MAX_TASKS = 100_000;

/**
 * @returns a description of the limit that a workflow exceeds, or undefined.
 */
export const findExceededLimit = (spec: WorkflowSpec): string | undefined => {
  const times = occurrenceCount(spec);
  const stepCount = spec.steps.length * times;
  if (stepCount > MAX_STEPS)
    return `more than ${MAX_STEPS} steps over all occurrences`;
  const taskCount = spec.steps.reduce((sum, step) => sum + step.taskCount, 0);
  return taskCount * times > MAX_TASKS
    ? `more than ${MAX_TASKS} tasks over all occurrences`
    : undefined;
};
