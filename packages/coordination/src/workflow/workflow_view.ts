/** Client view of workflows. */
import type {
  QueueAddress,
  WorkflowReply,
  WorkflowView,
} from '@primrosewick/protocol';
import {
  matchQueue,
  type Queue,
  type WorkflowDb,
  type WorkflowId,
  type WorkflowState,
} from '@primrosewick/state';

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

/** The workflow that an address names; undefined if it is not known here. */
export const findWorkflow = (
  {bundle, workflows}: Pick<WorkflowDb, 'bundle' | 'workflows'>,
  {host, path}: QueueAddress,
): WorkflowState | undefined => {
  const match = bundle && matchQueue(bundle, host, path);
  return match ? workflows.get(match.rest as WorkflowId) : undefined;
};

/**
 * What a state tells of a workflow, or of a queue.
 * @returns undefined before the first bundle.
 */
export const lookUp = (
  db: WorkflowDb,
  {host, path}: QueueAddress,
): WorkflowReply | undefined => {
  if (!db.bundle) return undefined;
  const match = matchQueue(db.bundle, host, path);
  if (!match) return {kind: 'unknown_queue'};
  if (match.rest === '')
    return {kind: 'pending', count: countPending(db, match.queue)};
  const workflow = db.workflows.get(match.rest as WorkflowId);
  if (!workflow) return {kind: 'unknown_workflow'};
  return {kind: 'state', state: viewOf(workflow)};
};
