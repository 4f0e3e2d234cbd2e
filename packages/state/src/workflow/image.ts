/**
 * The state of workflows as plain data, without what can be derived from the
 * rest.
 */
import type {Customer} from '../bundle/types.js';
import type {WorkflowDb} from './db.js';
import {indexRun, noPreemptibleRuns} from './preemptible_runs.js';
import {taskKey} from './refs.js';
import {NO_RESOURCES, addResources} from './resources.js';
import {countDoneOccurrences} from './task_state.js';
import type {SubmissionOrigin, WorkerState, WorkflowImage} from './types.js';

/** The known fields of a submission's origin, without absent ones. */
export const originOf = ({
  customer,
  zone,
  isBeyondRate,
}: SubmissionOrigin): SubmissionOrigin => ({
  ...(customer !== undefined && {customer}),
  ...(zone !== undefined && {zone}),
  ...(isBeyondRate && {isBeyondRate}),
});

const withInterference = (interference: WorkflowImage['interference']) =>
  interference === undefined ? {} : {interference};

const withEstimates = (estimates: WorkflowImage['estimates']) =>
  estimates === undefined ? {} : {estimates};

const withDropped = (droppedCustomers: readonly Customer[]) =>
  droppedCustomers.length === 0 ? {} : {droppedCustomers};

/** Creates a serializable image of the whole state. */
export const imageOf = ({
  index,
  cancelled,
  bundle,
  queues,
  customers,
  workflows,
  workers,
  departed,
  crashes,
  orphans,
  estimates,
  interference,
}: WorkflowDb): WorkflowImage => ({
  index,
  ...(cancelled.size > 0 && {cancelled: cancelled.values()}),
  departed: departed.values(),
  crashes: crashes.values(),
  orphans: orphans.values(),
  ...withEstimates(estimates.toImage()),
  ...withInterference(interference.toImage()),
  bundle,
  queues: [...queues.values()],
  ...(customers.size > 0 && {customers: [...customers.values()]}),
  ...withDropped(customers.droppedValues()),
  workflows: [...workflows.values()].map(workflow => ({
    id: workflow.id,
    queue: workflow.queue,
    ...originOf(workflow),
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
    ...(worker.lastDoneAt !== undefined && {lastDoneAt: worker.lastDoneAt}),
    active: [...worker.active.values()],
  })),
});

/** Restores a worker, with what is derived from its active runs. */
export const restoreWorker = (
  kept: WorkflowImage['workers'][number],
  db: Pick<WorkflowDb, 'resourcesOf' | 'workflows'>,
): WorkerState => {
  const state: WorkerState = {
    ...kept,
    active: new Map(kept.active.map(run => [taskKey(run.task), run])),
    used: NO_RESOURCES,
    ...noPreemptibleRuns(),
  };
  for (const [key, run] of state.active) {
    state.used = addResources(state.used, db.resourcesOf(run.task));
    indexRun(state, key, run, db.workflows.get(run.task.workflow));
  }
  return state;
};
