/** Keys of steps and tasks. */
import type {StepKey, StepRef, TaskKey, TaskRef} from './types.js';

/** Key of a step of one occurrence. */
export const stepKey = ({workflow, occurrence, step}: StepRef): StepKey =>
  `${workflow}.${occurrence}.${step}` as StepKey;

/** Key of a task. */
export const taskKey = (task: TaskRef): TaskKey =>
  `${stepKey(task)}.${task.index}` as TaskKey;
