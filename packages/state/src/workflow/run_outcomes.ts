/**
 * Outcomes of runs that later placements depend on: where a task failed, and
 * when a worker last finished a run.
 */
import type {WorkflowDb} from './db.js';
import type {FailedRun, RunEnd, TaskState, WorkerState} from './types.js';

/** Failed runs that are kept for each task; queues allow few attempts. */
const MAX_FAILED_RUNS = 4;

/** Notes the end of a run at its worker; `at` is a wall time in ms since 1970. */
export const noteOutcome = (
  db: Pick<WorkflowDb, 'findTask'>,
  worker: WorkerState,
  {task, outcome}: RunEnd,
  at: number,
): void => {
  if (outcome === 'done') worker.lastDoneAt = at;
  if (outcome !== 'failed') return;
  const state = db.findTask(task);
  if (state) addFailedRun(state, failedRunOn(worker, at));
};

const failedRunOn = ({report}: WorkerState, at: number): FailedRun => ({
  worker: report.worker,
  ...(report.rack === undefined ? {} : {rack: report.rack}),
  at,
});

const addFailedRun = (state: TaskState, run: FailedRun): void => {
  const others = (state.failedRuns ?? []).filter(
    ({worker}) => worker !== run.worker,
  );
  state.failedRuns = [...others, run].slice(-MAX_FAILED_RUNS);
};
