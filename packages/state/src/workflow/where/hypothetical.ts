/** The state as it would be with one more workflow, beside the live one. */
import type {WorkflowDb} from '../db.js';
import {OpenWorkflows} from '../open_workflows.js';
import type {WorkflowState} from '../types.js';

/**
 * An overlay of a state with one more open workflow. It shares all else with the
 * live state, which stays as it is, and is only to be read, before the live state
 * changes.
 */
export const withWorkflow = (
  db: WorkflowDb,
  workflow: WorkflowState,
): WorkflowDb => {
  const open = new OpenWorkflows();
  for (const [id, known] of db.open) open.set(id, known);
  open.set(workflow.id, workflow);
  const workflows = new Map(db.workflows).set(workflow.id, workflow);
  return Object.create(db, {
    open: {value: open},
    workflows: {value: workflows},
  }) as WorkflowDb;
};
