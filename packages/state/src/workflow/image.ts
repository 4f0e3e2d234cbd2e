/**
 * The state of workflows as plain data, without what can be derived from the
 * rest.
 */
import type {WorkflowDb} from './db.js';
import {countDoneOccurrences} from './task_state.js';
import type {WorkflowImage} from './types.js';

/** Creates a serializable image of the whole state. */
export const imageOf = ({
  index,
  bundle,
  queues,
  workflows,
  workers,
  departed,
  crashes,
  orphans,
}: WorkflowDb): WorkflowImage => ({
  index,
  departed: departed.values(),
  crashes: crashes.values(),
  orphans: orphans.values(),
  bundle,
  queues: [...queues.values()],
  workflows: [...workflows.values()].map(workflow => ({
    id: workflow.id,
    queue: workflow.queue,
    spec: workflow.spec,
    acceptedAt: workflow.acceptedAt,
    phase: workflow.phase,
    endedAt: workflow.endedAt,
    hasStarted: workflow.hasStarted,
    doneOccurrences: countDoneOccurrences(workflow),
    occurrences: [...workflow.occurrences],
    ...(workflow.crashes && {crashes: workflow.crashes}),
  })),
  workers: [...workers.values()].map(worker => ({
    report: worker.report,
    endsRecorded: worker.endsRecorded,
    active: [...worker.active.values()],
  })),
});
