/** Checks how workflows have ended. */
import {
  taskKey,
  type TaskRef,
  type WorkflowId,
  type WorkflowPhase,
  type WorkflowSpec,
} from '@primrosewick/state';
import {MAX_ATTEMPTS} from './cell_bundle.js';
import type {WorkflowOracle} from './oracle.js';
import {tasksOf} from './tasks_of.js';

/** Options of {@link findWrongEnd}. */
export interface WorkflowEnd {
  readonly id: WorkflowId;
  readonly spec: WorkflowSpec;
  readonly phase: WorkflowPhase | undefined;
  readonly oracle: WorkflowOracle;
  /** Whether a task crashes the workers that start it. */
  readonly isDeadly: (task: TaskRef) => boolean;
}

/** @returns what is wrong with the end of a workflow once all faults have ended. */
export const findWrongEnd = (end: WorkflowEnd): string | undefined => {
  const {id, spec, phase, oracle} = end;
  if (phase === 'open') return `${id} is still open at the end`;
  if (phase === 'failed' && !hasCauseToFail(end))
    return `${id} could be done and is shown as failed`;
  if (phase !== 'done') return undefined;
  const missing = tasksOf(id, spec).find(task => !oracle.isDone(task));
  return missing && `${id} is done, but ${taskKey(missing)} is not`;
};

/** Whether a task crashes its workers, or has failed as often as it may. */
const hasCauseToFail = ({id, spec, oracle, isDeadly}: WorkflowEnd): boolean =>
  tasksOf(id, spec).some(
    task =>
      isDeadly(task) ||
      oracle.mayBeGivenUp(task) ||
      oracle.hasFailedBy(task, MAX_ATTEMPTS),
  );
