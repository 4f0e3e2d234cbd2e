/**
 * Limits on the size of one workflow. Every voter holds a record for each task
 * and replays it after a restart, so a workflow that is too large for one
 * process would crash all voters repeatedly.
 */
import type {Customer} from '../../bundle/types.js';
import {occurrenceCount} from '../task_state.js';
import type {Resources, StepSpec, WorkflowSpec} from '../types.js';

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

const DIMENSIONS: ReadonlyArray<readonly [keyof Resources, string]> = [
  ['cpuMillis', 'thousandths of a core'],
  ['memMb', 'MB of memory'],
  ['gpus', 'accelerators'],
];

/**
 * Finds a task or a gang that its customer's cap can never hold, even with
 * nothing else running.
 * @returns a description that names the cap and the dimension, or undefined.
 */
export const findExceededCap = (
  {steps}: Pick<WorkflowSpec, 'steps'>,
  {name, cap}: Pick<Customer, 'name' | 'cap'>,
): string | undefined => {
  for (const [index, step] of steps.entries())
    for (const [dimension, unit] of DIMENSIONS) {
      const needed = atOnce(step) * step.room[dimension];
      if (cap[dimension] > 0 && needed > cap[dimension])
        return `step ${index} needs ${needed} ${unit} at once; the cap of customer ${name} is ${cap[dimension]}`;
    }
  return undefined;
};

/** Number of tasks of a step that can only run together. */
const atOnce = ({isGang, taskCount}: StepSpec): number =>
  isGang ? taskCount : 1;
