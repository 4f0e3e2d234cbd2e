import {subtractSizes, addSizes, fits} from './sizes.js';
import type {Size} from '../documents/job.js';
import type {TaskId} from '../ids/types.js';
import type {PlacementContext} from './context.js';
import type {JobView, PlacedTask} from './job_table.js';
import type {Worker} from './worker_table.js';

/** A task that may be preempted. */
interface Victim {
  readonly task: TaskId;
  readonly view: JobView;
  readonly state: PlacedTask;
}

/** Tasks on one worker whose preemption frees enough capacity. */
export interface VictimSet {
  readonly worker: Worker;
  readonly victims: readonly Victim[];
}

/**
 * Finds the fewest tasks of lower priority that support checkpoints and whose
 * preemption frees enough capacity for a task.
 * @returns the tasks of one worker, or undefined if no worker qualifies.
 */
export const findVictims = (
  context: PlacementContext,
  size: Size,
  priority: number,
): VictimSet | undefined => {
  let best: VictimSet | undefined;
  for (const worker of context.workers.listWorkers()) {
    if (
      !context.workers.isSchedulable(worker, context.now) ||
      !fits(size, worker.total)
    )
      continue;
    const victims = victimsOn(context, worker, size, priority);
    if (victims && (!best || victims.length < best.victims.length))
      best = {worker, victims};
  }
  return best;
};

const victimsOn = (
  context: PlacementContext,
  worker: Worker,
  size: Size,
  priority: number,
): Victim[] | undefined => {
  const chosen: Victim[] = [];
  let room = worker.free;
  for (const victim of candidatesOn(context, worker, priority)) {
    if (fits(size, room)) break;
    chosen.push(victim);
    room = addSizes(room, victim.state.size);
  }
  return fits(size, room) ? dropUnneededVictims(chosen, room, size) : undefined;
};

/** Drops victims that are not needed given the others. */
const dropUnneededVictims = (
  chosen: readonly Victim[],
  room: Size,
  size: Size,
): Victim[] => {
  let left = room;
  return chosen.filter(victim => {
    const without = subtractSizes(left, victim.state.size);
    if (!fits(size, without)) return true;
    left = without;
    return false;
  });
};

const candidatesOn = (
  context: PlacementContext,
  worker: Worker,
  priority: number,
): Victim[] => {
  const candidates: Victim[] = [];
  for (const key of worker.reserved.keys()) {
    const task = key.slice(0, key.indexOf('#')) as TaskId;
    const view = context.jobOf(task);
    const state = view && context.jobs.getState(view, task);
    const isStoppable =
      state?.kind === 'placed' &&
      state.stop === 'none' &&
      view?.record.profile.stopping.checkpoint;
    if (view && isStoppable && view.record.spec.priority < priority)
      candidates.push({task, view, state});
  }
  return candidates.sort(
    (a, b) => a.view.record.spec.priority - b.view.record.spec.priority,
  );
};
