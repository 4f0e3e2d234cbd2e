/** Enumerates the tasks of a workflow. */
import {
  occurrenceCount,
  type TaskRef,
  type WorkflowId,
  type WorkflowSpec,
} from '@primrosewick/state';

/** All tasks of all occurrences of a workflow. */
export const tasksOf = (
  workflow: WorkflowId,
  spec: WorkflowSpec,
): TaskRef[] => {
  const tasks: TaskRef[] = [];
  for (let occurrence = 0; occurrence < occurrenceCount(spec); occurrence++)
    spec.steps.forEach(({taskCount}, step) => {
      for (let index = 0; index < taskCount; index++)
        tasks.push({workflow, occurrence, step, index});
    });
  return tasks;
};
