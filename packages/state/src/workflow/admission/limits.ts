/**
 * Bounds on what one workflow may ask for. Every voter holds a record for each
 * task, and replays it after a restart: a workflow that is too large for one
 * process would end all of them, again and again.
 */
import {occurrenceCount} from '../task_state.js';
import type {WorkflowSpec} from '../types.js';

/** Most steps of a workflow, over all occurrences. */
export const MAX_STEPS = 10_000;
/** Most tasks of a workflow, over all occurrences. */
export const MAX_TASKS = 100_000;

/** @returns what is too large about a workflow, or undefined. */
export const findExceededLimit = (spec: WorkflowSpec): string | undefined => {
  const times = occurrenceCount(spec);
  const stepCount = spec.steps.length * times;
  if (stepCount > MAX_STEPS) return `more than ${MAX_STEPS} steps in all`;
  const taskCount = spec.steps.reduce((sum, step) => sum + step.taskCount, 0);
  return taskCount * times > MAX_TASKS
    ? `more than ${MAX_TASKS} tasks in all`
    : undefined;
};
