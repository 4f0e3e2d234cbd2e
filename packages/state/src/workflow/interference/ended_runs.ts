/** Tells the interference of the ends of runs, from the replicated state. */
import type {WorkflowDb} from '../db.js';
import {countsAsSample} from '../estimates/ended_runs.js';
import {MAX_ID_LENGTH} from '../estimates/worker_speeds.js';
import {taskKey} from '../refs.js';
import type {RunEnd, WorkerState} from '../types.js';
import {neighboursOf, taskKindOf} from './neighbours.js';

/** Least number of tasks of a step whose runs can be compared. */
const MIN_TASKS = 3;

type State = Pick<
  WorkflowDb,
  'open' | 'workflows' | 'estimates' | 'interference'
>;

/**
 * Learns from the end of a run that is still active, before it is removed.
 * @returns the logarithm of the ratio by which its neighbours are known to have
 * slowed it.
 */
export const learnNeighbours = (
  db: State,
  worker: WorkerState,
  end: RunEnd,
  at: number,
): number => {
  const {task, run} = end;
  const key = taskKey(task);
  const active = worker.active.get(key);
  const kind = taskKindOf(db, task);
  const from = active?.startedAt;
  if (active?.run !== run || kind === undefined) return 0;
  if (from === undefined || at < from) return 0;
  const {report} = worker;
  if (Math.max(task.workflow.length, report.worker.length) > MAX_ID_LENGTH)
    return 0;
  const {interference, estimates} = db;
  const busy = interference.busyOn(report.worker);
  const spec = db.open.get(task.workflow)?.spec.steps[task.step];
  const isCounted = countsAsSample(db, worker, end);
  const neighbours = isCounted
    ? neighboursOf(db, worker, busy, {key, from, until: at})
    : [];
  const known = interference.knownLog(kind, neighbours, at);
  if (isCounted && spec && spec.taskCount >= MIN_TASKS) {
    const life = {worker: report.worker, bornAt: report.bornAt};
    interference.noteRun(task, {...life, from, until: at, neighbours});
  }
  interference.noteEnded(report.worker, [kind, from, at]);
  const steps = db.open.get(task.workflow)?.occurrences.get(task.occurrence);
  const state = steps?.[task.step];
  const isLast =
    end.outcome === 'done' &&
    state?.tasks[task.index]?.isDone === false &&
    state.doneCount + 1 === state.tasks.length;
  if (isLast) interference.complete(task, kind, estimates.speeds);
  return known;
};
