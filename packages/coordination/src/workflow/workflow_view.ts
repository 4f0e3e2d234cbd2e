/** Client view of workflows. */
import type {WorkflowView} from '@primrosewick/protocol';
import type {Queue, WorkflowDb, WorkflowState} from '@primrosewick/state';

/** State of a workflow as shown to clients. */
export const viewOf = ({
  phase,
  hasStarted,
}: Pick<WorkflowState, 'phase' | 'hasStarted'>): WorkflowView => {
  if (phase !== 'open') return phase;
  return hasStarted ? 'running' : 'queued';
};

/** Number of open workflows of a queue without a started task. */
export const countPending = (db: WorkflowDb, {name}: Queue): number => {
  let count = 0;
  for (const {queue, hasStarted} of db.open.values())
    if (queue === name && !hasStarted) count++;
  return count;
};
