/** The state of a workflow as its submission leaves it. */
import {originOf} from './image.js';
import type {WorkflowCommand} from './commands.js';
import type {WorkflowState} from './types.js';

/** Record of a submission. */
export type Submission = Extract<WorkflowCommand, {kind: 'submit'}>;

/** A workflow that was just accepted. */
export const acceptedWorkflow = (submission: Submission): WorkflowState => ({
  id: submission.id,
  queue: submission.queue,
  spec: submission.spec,
  ...originOf(submission),
  acceptedAt: submission.at,
  phase: 'open',
  endedAt: 0,
  hasStarted: false,
  occurrences: new Map(),
  activeRuns: 0,
});
