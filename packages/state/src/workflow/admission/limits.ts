/**
 * Bounds on what one workflow may ask for. Every voter holds a record for each
 * task, and replays it after a restart: a workflow that is too large for one
 * process would end all of them, again and again.
 */
import type {WorkflowSpec} from '../types.js';

/** Most steps of a workflow. */
export const MAX_STEPS = 1000;
/** Most tasks of one occurrence of a workflow. */
export const MAX_TASKS = 20_000;
/** Most occurrences of a workflow. */
export const MAX_OCCURRENCES = 10_000;

/** @returns what is too large about a workflow, or undefined. */
export const findSpecFault = ({
  steps,
  occurrences,
}: WorkflowSpec): string | undefined => {
  if (steps.length > MAX_STEPS) return `more than ${MAX_STEPS} steps`;
  if (occurrences > MAX_OCCURRENCES)
    return `more than ${MAX_OCCURRENCES} occurrences`;
  const taskCount = steps.reduce((sum, step) => sum + step.taskCount, 0);
  return taskCount > MAX_TASKS ? `more than ${MAX_TASKS} tasks` : undefined;
};
