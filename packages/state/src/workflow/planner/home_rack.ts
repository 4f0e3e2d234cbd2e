/**
 * Chooses the rack for a step whose tasks are slower when spread over racks.
 * Load pattern: wide steps beside small ones, so that the workers with most
 * free resources are rarely all in one rack.
 */
import {countFitting} from './advice.js';
import type {StepWork} from './step_work.js';
import type {WorkerView} from './types.js';

/**
 * Chooses the rack in which the tasks of a step should run: the one with most
 * of its active runs, else the tightest one that fits all waiting tasks, else
 * the one that fits most.
 * @param workers - all workers, to look up the racks of active runs.
 * @param candidates - workers on which the step may run.
 * @returns undefined if the step is not rack local or no rack is known.
 */
export const homeRackOf = (
  {spec, state}: Pick<StepWork, 'spec' | 'state'>,
  waitingCount: number,
  workers: ReadonlyMap<string, WorkerView>,
  candidates: readonly WorkerView[],
): string | undefined => {
  if (!spec.isRackLocal || spec.taskCount < 2) return undefined;
  const running = new Map<string, number>();
  for (const {active} of state.tasks)
    for (const {worker} of active) add(running, workers.get(worker)?.rack, 1);
  if (running.size > 0) return largestOf(running);
  const places = new Map<string, number>();
  for (const {rack, free} of candidates)
    add(places, rack, countFitting(spec, free));
  const sufficient = [...places].filter(([, count]) => count >= waitingCount);
  if (sufficient.length === 0) return largestOf(places);
  return sufficient.reduce((a, b) => (b[1] < a[1] ? b : a))[0];
};

const add = (
  counts: Map<string, number>,
  rack: string | undefined,
  count: number,
): void => {
  if (rack !== undefined) counts.set(rack, (counts.get(rack) ?? 0) + count);
};

const largestOf = (counts: ReadonlyMap<string, number>): string | undefined => {
  let best: readonly [string, number] | undefined;
  for (const entry of counts) if (!best || entry[1] > best[1]) best = entry;
  return best?.[0];
};
