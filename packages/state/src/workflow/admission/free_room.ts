/**
 * Finds out whether a pool has free room for all work that waits for it. Load
 * pattern: a pool that is well used but not full, in which the work that runs
 * already looks like a backlog.
 */
import type {Queue} from '../../bundle/types.js';
import type {WorkflowDb} from '../db.js';
import {
  NO_RESOURCES,
  addResources,
  fitsInto,
  subtractResources,
} from '../resources.js';
import type {
  Resources,
  StepSpec,
  WorkflowSpec,
  WorkflowState,
} from '../types.js';

/** Resources of a number of tasks of a step; none for tasks that use what is left over. */
const resourcesOf = (
  {room, usesLeftover}: StepSpec,
  count: number,
): Resources =>
  usesLeftover
    ? NO_RESOURCES
    : {
        cpuMillis: count * room.cpuMillis,
        memMb: count * room.memMb,
        gpus: count * room.gpus,
      };

/** Resources of the tasks of a workflow that wait, of all steps together. */
const waitingResources = ({spec, occurrences}: WorkflowState): Resources => {
  const states = occurrences.get(0);
  return spec.steps.reduce(
    (sum, step, i) =>
      addResources(
        sum,
        resourcesOf(step, states?.[i]?.idleCount ?? step.taskCount),
      ),
    NO_RESOURCES,
  );
};

/**
 * Whether the workers of a queue's pool have free resources for all waiting tasks
 * of the pool and for one more workflow.
 */
export const hasFreeRoom = (
  db: WorkflowDb,
  {pool}: Queue,
  spec: WorkflowSpec,
  isCounted: (workflow: WorkflowState, queue: Queue) => boolean,
): boolean => {
  let free = NO_RESOURCES;
  for (const {report, used} of db.workers.values())
    if (report.pool === pool && !report.isDraining)
      free = addResources(free, subtractResources(report.room, used));
  let needed = spec.steps.reduce(
    (sum, step) => addResources(sum, resourcesOf(step, step.taskCount)),
    NO_RESOURCES,
  );
  for (const workflow of db.open.values()) {
    if (!fitsInto(needed, free)) return false;
    const queue = db.queues.get(workflow.queue);
    if (queue?.pool !== pool || workflow.spec.firstDueAt > 0) continue;
    if (isCounted(workflow, queue))
      needed = addResources(needed, waitingResources(workflow));
  }
  return fitsInto(needed, free);
};
