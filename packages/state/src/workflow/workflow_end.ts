/** Describes the end of a workflow, from the state that its details are discarded from. */
import type {Queue} from '../bundle/types.js';
import {dueAtOf} from './planner/ready.js';
import {occurrenceCount} from './task_state.js';
import type {WorkflowEnd, WorkflowState} from './types.js';

/** The end of a workflow, which may be in a queue that is no longer known. */
export const workflowEndOf = (
  workflow: WorkflowState,
  queue: Queue | undefined,
  {phase, endedAt}: Pick<WorkflowEnd, 'phase' | 'endedAt'>,
): WorkflowEnd => {
  const {id, acceptedAt, spec} = workflow;
  const last = occurrenceCount(spec) - 1;
  const dueAt = queue ? dueAtOf(workflow, queue, last) : acceptedAt;
  return {id, queue: workflow.queue, phase, acceptedAt, endedAt, dueAt};
};
