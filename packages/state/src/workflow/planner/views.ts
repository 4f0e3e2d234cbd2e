/** The planner's views of workers, from the state and the pending starts. */
import type {WorkerId} from '../../ids/types.js';
import type {WorkflowDb} from '../db.js';
import {taskRefOf} from '../refs.js';
import {NO_RESOURCES, subtractResources} from '../resources.js';
import type {Resources, TaskKey, WorkerState} from '../types.js';
import type {WorkerView} from './types.js';

/**
 * Worker, task and run of a start that is proposed or sent, and not yet
 * settled.
 */
export type PendingStart = readonly [WorkerId, TaskKey, number];

/** Resources of a worker that no recorded run holds. */
export const freeResourcesOf = ({report, used}: WorkerState): Resources =>
  subtractResources(report.room, used);

const LABEL_SETS = new WeakMap<readonly string[], ReadonlySet<string>>();

/** Labels as a set, cached by the array of the report, which passes share. */
const labelSet = (labels: readonly string[]): ReadonlySet<string> => {
  const known = LABEL_SETS.get(labels);
  if (known) return known;
  const set = new Set(labels);
  LABEL_SETS.set(labels, set);
  return set;
};

/**
 * Views of all workers; pending starts that are not recorded yet hold resources
 * as well.
 */
export const viewWorkers = (
  db: WorkflowDb,
  expected: readonly PendingStart[],
  isUsable: (worker: WorkerId) => boolean,
): Map<WorkerId, WorkerView> => {
  const views = new Map<WorkerId, WorkerView>();
  for (const [worker, state] of db.workers) {
    const {bornAt, pool, room, labels, rack} = state.report;
    views.set(worker, {
      worker,
      bornAt,
      pool,
      room,
      labels: labelSet(labels),
      ...(rack === undefined ? {} : {rack}),
      free: freeResourcesOf(state),
      unreserved: room,
      kept: NO_RESOURCES,
      keptPriority: Number.POSITIVE_INFINITY,
      isUsable: isUsable(worker),
    });
  }
  for (const [worker, key, run] of expected) {
    const view = views.get(worker);
    const recorded = db.workers.get(worker)?.active.get(key);
    if (view && recorded?.run !== run)
      view.free = subtractResources(view.free, db.resourcesOf(taskRefOf(key)));
  }
  return views;
};
