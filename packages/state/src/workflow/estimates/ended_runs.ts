/** Tells the estimates of the ends of runs, from the replicated state. */
import type {WorkflowDb} from '../db.js';
import {taskKey} from '../refs.js';
import {MAX_STEP_RUNS} from './core.js';
import type {
  RunEnd,
  StepSpec,
  StepState,
  TaskRef,
  WorkerRegistration,
  WorkerState,
} from '../types.js';

/**
 * Only first runs count: a later one may have resumed from a checkpoint.
 */
const COUNTED_RUN = 1;

type State = Pick<WorkflowDb, 'open' | 'workers' | 'estimates'>;

/** Learns from the end of a run that is still active, before it is removed. */
export const learnFromEnd = (
  db: State,
  worker: WorkerState,
  {task, run, outcome}: RunEnd,
  at: number,
): void => {
  const workflow = db.open.get(task.workflow);
  const spec = workflow?.spec.steps[task.step];
  const state = workflow?.occurrences.get(task.occurrence)?.[task.step];
  const taskState = state?.tasks[task.index];
  if (outcome !== 'done' || !workflow || !spec || !state || !taskState) return;
  if (taskState.isDone || spec.isLongRunning || spec.usesLeftover) return;
  if (run === COUNTED_RUN) {
    if (spec.isGang) noteGang(db, task, spec, state, at);
    else if (isSampled(task, spec)) noteRun(db, task, spec, worker, at);
  }
  const isLast = spec.isGang || state.doneCount + 1 === state.tasks.length;
  if (!isLast) return;
  const step = {queue: workflow.queue, step: task.step, spec};
  db.estimates.complete(task, step, at);
};

/**
 * Whether a task is one of those counted in a wide step. Chosen by index: the
 * first ones to end would be the fastest.
 */
const isSampled = ({index}: TaskRef, {taskCount}: StepSpec): boolean =>
  index % Math.ceil(taskCount / MAX_STEP_RUNS) === 0;

const noteRun = (
  {estimates}: State,
  task: TaskRef,
  spec: StepSpec,
  {report, active}: WorkerState,
  at: number,
): void => {
  const startedAt = active.get(taskKey(task))?.startedAt;
  // Racks slow tasks that run in several; this says nothing about their workers.
  if (startedAt === undefined || spec.isRackLocal) return;
  if (at < startedAt || isAway(spec, report)) return;
  estimates.noteRun(task, report, at - startedAt);
};

/** A gang makes progress from the start of its last member. */
const noteGang = (
  {workers, estimates}: State,
  task: TaskRef,
  spec: StepSpec,
  {tasks}: StepState,
  at: number,
): void => {
  let lastStartAt = Number.NEGATIVE_INFINITY;
  const members: WorkerRegistration[] = [];
  for (const [index, {active}] of tasks.entries()) {
    const worker = active[0] && workers.get(active[0].worker);
    const run = worker?.active.get(taskKey({...task, index}));
    if (!worker || run?.startedAt === undefined) return;
    if (isAway(spec, worker.report)) return;
    lastStartAt = Math.max(lastStartAt, run.startedAt);
    members.push(worker.report);
  }
  const rackCount = new Set(members.map(({rack}) => rack)).size;
  if (at < lastStartAt || (spec.isRackLocal && rackCount > 1)) return;
  estimates.noteGang(task, members, at - lastStartAt);
};

const isAway = (
  {preferredRack}: StepSpec,
  {labels}: WorkerRegistration,
): boolean => preferredRack !== undefined && !labels.includes(preferredRack);
