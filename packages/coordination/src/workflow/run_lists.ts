/** Compares what a worker lists with what is recorded of it. */
import {
  taskKey,
  type TaskRef,
  type WorkerIncarnation,
  type WorkerState,
  type WorkflowDb,
} from '@primrosewick/state';
import type {ListedRun} from './ports.js';
import type {StartLedger} from './start_ledger.js';

/** A run by its task and number. */
export interface RunRef {
  readonly task: TaskRef;
  readonly run: number;
}

/** Whether a run is recorded on a life of a worker, and has not ended. */
export const isActiveRun = (
  db: WorkflowDb,
  {task, run, ...life}: RunRef & WorkerIncarnation,
): boolean => db.findIncarnation(life)?.active.get(taskKey(task))?.run === run;

/** What a comparison finds. */
export interface RunListDiff {
  /** Recorded runs that the worker neither runs nor has listed as ended. */
  readonly missing: readonly RunRef[];
  /** Runs that the worker lists, and that are neither recorded nor ordered. */
  readonly unrecorded: readonly RunRef[];
}

/**
 * Compares the lists that a worker was asked for at a monotonic time in ms,
 * after its ends were recorded.
 */
export const compareLists = (
  active: WorkerState['active'],
  running: readonly ListedRun[],
  starts: StartLedger,
  askedAt: number,
): RunListDiff => {
  const listed = new Map(running.map(run => [taskKey(run.task), run.run]));
  return {
    missing: [...active]
      .filter(([key, {run}]) => listed.get(key) !== run)
      .filter(([key, {run}]) => !starts.isUnsettled(key, run, askedAt))
      .map(([, run]) => run),
    unrecorded: running.filter(({task, run}) => {
      const key = taskKey(task);
      return active.get(key)?.run !== run && !starts.isOrdered(key, run);
    }),
  };
};
