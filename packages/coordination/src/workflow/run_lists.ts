/** Compares the runs that a worker lists with its recorded runs. */
import {
  taskKey,
  type RecordedStart,
  type TaskRef,
  type WorkerIncarnation,
  type WorkerState,
  type WorkflowCommand,
  type WorkflowDb,
} from '@primrosewick/state';
import type {ListedRun} from './ports.js';
import type {StartLedger} from './start_ledger.js';

/** Identifies a run by its task and number. */
export interface RunRef {
  readonly task: TaskRef;
  readonly run: number;
}

/** Whether a run is among others. */
export const includesRun = (runs: readonly RunRef[], {task, run}: RunRef) =>
  runs.some(
    other => other.run === run && taskKey(other.task) === taskKey(task),
  );

/** Whether a run is recorded on an incarnation of a worker and has not ended. */
export const isActiveRun = (
  db: WorkflowDb,
  {task, run, ...incarnation}: RunRef & WorkerIncarnation,
): boolean =>
  db.findIncarnation(incarnation)?.active.get(taskKey(task))?.run === run;

/** Differences between listed and recorded runs. */
export interface RunListDiff {
  /** Recorded runs that the worker lists neither as running nor as ended. */
  readonly missing: readonly RunRef[];
  /** Orphaned runs: listed by the worker, but neither recorded nor ordered. */
  readonly unrecorded: readonly RunRef[];
}

/**
 * Compares a worker's list, requested at the monotonic time `askedAt` in ms,
 * with its recorded runs. The listed ends must have been recorded before.
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

/** Record of starts that are about to be sent, at a wall time in ms. */
export const startRecord = (
  starts: readonly RecordedStart[],
  at: number,
): WorkflowCommand => ({
  kind: 'start_runs',
  starts: starts.map(({task, run, worker, bornAt}) => ({
    task,
    run,
    worker,
    bornAt,
  })),
  at,
});
