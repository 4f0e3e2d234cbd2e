/** Conversion between references to steps or tasks and their keys. */
import type {StepKey, StepRef, TaskKey, TaskRef} from './types.js';

/** Key of a step of one occurrence. */
export const stepKey = ({workflow, occurrence, step}: StepRef): StepKey =>
  `${workflow}.${occurrence}.${step}` as StepKey;

/** The step of a task. */
export const stepRefOf = ({workflow, occurrence, step}: StepRef): StepRef => ({
  workflow,
  occurrence,
  step,
});

/** Key of a task. */
export const taskKey = (task: TaskRef): TaskKey =>
  taskKeyIn(stepKey(task), task.index);

/** Key of a task, made from the key of its step. */
export const taskKeyIn = (step: StepKey, index: number): TaskKey =>
  `${step}.${index}` as TaskKey;

/**
 * Parses the key of a task; the id of its workflow may contain dots as well.
 */
export const taskRefOf = (key: TaskKey): TaskRef => {
  const indexAt = key.lastIndexOf('.');
  const stepAt = key.lastIndexOf('.', indexAt - 1);
  const occurrenceAt = key.lastIndexOf('.', stepAt - 1);
  return {
    workflow: key.slice(0, occurrenceAt) as TaskRef['workflow'],
    occurrence: Number(key.slice(occurrenceAt + 1, stepAt)),
    step: Number(key.slice(stepAt + 1, indexAt)),
    index: Number(key.slice(indexAt + 1)),
  };
};
