/**
 * Runs that can give way, by worker, kept up as records are applied. Load
 * pattern: a hundred steps wait for room on hundreds of full workers, and each
 * pass would otherwise look at every run of all of them.
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

/** Runs after which a task is left alone, so that it is not put off for good. */
const MAX_RUNS = 4;

/** Whether tasks of a step can give way at no more than the time of a restart. */
export const isPreemptible = (spec: StepSpec): boolean =>
  spec.isCheckpointable &&
  !spec.isGang &&
  !spec.isLongRunning &&
  !spec.usesLeftover;

/** Runs of a worker that can give way, and their room. */
type PreemptibleRuns = Pick<
  WorkerState,
  'yielding' | 'yieldingRoom' | 'yieldingMaxCpu'
>;

/** A worker on which nothing can give way. */
export const noPreemptibleRuns = (): PreemptibleRuns => ({
  yielding: new Map(),
  yieldingRoom: new Map(),
  yieldingMaxCpu: 0,
});

/** Notes a run that is recorded on a worker, in place of an earlier one of its task. */
export const addPreemptibleRun = (
  place: PreemptibleRuns,
  key: TaskKey,
  run: Pick<PreemptibleRun, 'task' | 'run'>,
  workflow: WorkflowState | undefined,
): void => {
  const spec = workflow?.spec.steps[run.task.step];
  const isYielding =
    workflow && spec && run.run < MAX_RUNS && isPreemptible(spec);
  if (!isYielding) return removePreemptibleRun(place, key);
  if (!place.yielding.has(key))
    addTo(place, workflow.queue, room => addResources(room, spec.room));
  place.yieldingMaxCpu = Math.max(place.yieldingMaxCpu, spec.room.cpuMillis);
  place.yielding.set(key, {
    ...run,
    room: spec.room,
    workflow,
    startDueAt: startDueAt(workflow, run.task.occurrence),
    longestChainMs: longestChainMs(workflow.spec),
    chainMs: chainFromMs(workflow.spec, run.task.step),
  });
};

/** Notes that a worker has no run of a task any more. */
export const removePreemptibleRun = (
  place: PreemptibleRuns,
  key: TaskKey,
): void => {
  const known = place.yielding.get(key);
  if (!known) return;
  place.yielding.delete(key);
  if (place.yielding.size === 0) place.yieldingMaxCpu = 0;
  addTo(place, known.workflow.queue, room =>
    subtractResources(room, known.room),
  );
};

const addTo = (
  {yieldingRoom}: PreemptibleRuns,
  queue: QueueName,
  change: (room: WorkerState['used']) => WorkerState['used'],
): void => {
  yieldingRoom.set(queue, change(yieldingRoom.get(queue) ?? NO_RESOURCES));
};
