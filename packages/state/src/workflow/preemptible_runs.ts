/**
 * Index of preemptible runs by worker, updated as records are applied. Load
 * pattern: a hundred steps wait for resources on hundreds of full workers;
 * without the index, each pass would scan every run of all of them.
 */
import type {QueueName} from '../bundle/types.js';
import {chainFromMs, longestChainMs, startDueAt} from './planner/ready.js';
import {NO_RESOURCES, addResources, subtractResources} from './resources.js';
import type {
  StepSpec,
  TaskKey,
  WorkerState,
  WorkflowState,
  PreemptibleRun,
} from './types.js';

/** From this run on, a task is not preempted, so that it is not starved. */
const NON_PREEMPTIBLE_FROM_RUN = 4;

/**
 * Whether tasks of a step can be preempted at no more than a restart's cost.
 */
export const isPreemptible = (spec: StepSpec): boolean =>
  spec.isCheckpointable &&
  !spec.isGang &&
  !spec.isLongRunning &&
  !spec.usesLeftover;

/** Preemptible runs of a worker, and their resources. */
type PreemptibleRuns = Pick<
  WorkerState,
  'yielding' | 'yieldingRoom' | 'yieldingMaxCpu'
>;

/** Index of a worker without preemptible runs. */
export const noPreemptibleRuns = (): PreemptibleRuns => ({
  yielding: new Map(),
  yieldingRoom: new Map(),
  yieldingMaxCpu: 0,
});

/**
 * Indexes a recorded run if it is preemptible; replaces the task's earlier run.
 */
export const indexRun = (
  worker: PreemptibleRuns,
  key: TaskKey,
  run: Pick<PreemptibleRun, 'task' | 'run'>,
  workflow: WorkflowState | undefined,
): void => {
  const spec = workflow?.spec.steps[run.task.step];
  const isIndexable =
    workflow &&
    spec &&
    run.run < NON_PREEMPTIBLE_FROM_RUN &&
    isPreemptible(spec);
  if (!isIndexable) return unindexRun(worker, key);
  if (!worker.yielding.has(key))
    updateResources(worker, workflow.queue, room =>
      addResources(room, spec.room),
    );
  worker.yieldingMaxCpu = Math.max(worker.yieldingMaxCpu, spec.room.cpuMillis);
  worker.yielding.set(key, {
    ...run,
    room: spec.room,
    workflow,
    startDueAt: startDueAt(workflow, run.task.occurrence),
    longestChainMs: longestChainMs(workflow.spec),
    chainMs: chainFromMs(workflow.spec, run.task.step),
  });
};

/** Removes a task's run from the index of its worker. */
export const unindexRun = (worker: PreemptibleRuns, key: TaskKey): void => {
  const known = worker.yielding.get(key);
  if (!known) return;
  worker.yielding.delete(key);
  if (worker.yielding.size === 0) worker.yieldingMaxCpu = 0;
  updateResources(worker, known.workflow.queue, room =>
    subtractResources(room, known.room),
  );
};

const updateResources = (
  {yieldingRoom}: PreemptibleRuns,
  queue: QueueName,
  change: (room: WorkerState['used']) => WorkerState['used'],
): void => {
  yieldingRoom.set(queue, change(yieldingRoom.get(queue) ?? NO_RESOURCES));
};
