/** Helpers that create and update the states of workflows, steps and tasks. */
import type {WorkflowDb} from './db.js';
import {taskKey} from './refs.js';
import type {VoidedRun} from './commands.js';
import type {
  RunEnd,
  StepSpec,
  StepState,
  TaskState,
  WorkerIncarnation,
  WorkflowSpec,
  WorkflowState,
} from './types.js';

/** Counts the runs of a workflow that may be active. */
export const countActiveRuns = ({occurrences}: WorkflowState): number => {
  let count = 0;
  for (const steps of occurrences.values())
    for (const {tasks} of steps)
      for (const {active} of tasks) count += active.length;
  return count;
};

/**
 * Discards the specification and the tasks of a workflow that has ended and has
 * no active runs: nothing reads them, and the state would otherwise grow with
 * all work that ended within `keepEndedMs`.
 */
export const discardDetails = (workflow: WorkflowState): void => {
  workflow.spec = ENDED_SPEC;
  workflow.occurrences = new Map();
};

const ENDED_SPEC: WorkflowSpec = {
  payload: '',
  steps: [],
  occurrences: 0,
  firstDueAt: 0,
  intervalMs: 0,
};

/** Number of times that the steps of a workflow run. */
export const occurrenceCount = (spec: WorkflowSpec): number =>
  Math.max(1, spec.occurrences);

/** Whether all steps of an occurrence are done; false for one that is not held. */
export const isOccurrenceDone = (
  steps: readonly StepState[] | undefined,
): boolean =>
  steps?.every(({doneCount, tasks}) => doneCount === tasks.length) === true;

/** Number of occurrences of a workflow whose steps are all done. */
export const countDoneOccurrences = ({
  occurrences,
}: Pick<WorkflowState, 'occurrences'>): number =>
  [...occurrences.values()].filter(isOccurrenceDone).length;

/** Whether the steps of a workflow are done as often as they are to run. */
export const areAllOccurrencesDone = (workflow: WorkflowState): boolean =>
  countDoneOccurrences(workflow) >= occurrenceCount(workflow.spec);

const newTask = (): TaskState => ({
  isDone: false,
  lastRun: 0,
  failures: 0,
  checkpoint: '',
  checkpointRun: 0,
  active: [],
});

/** Creates the steps of an occurrence in which no task has started. */
export const newOccurrence = (spec: WorkflowSpec): StepState[] =>
  spec.steps.map(({taskCount}) => ({
    tasks: Array.from({length: taskCount}, newTask),
    doneCount: 0,
    idleCount: taskCount,
    gangFailures: 0,
    lastFailedRun: 0,
  }));

/**
 * Stores the checkpoint of a run unless a later run has written one: a later
 * run resumes from the checkpoint of an earlier one, so its own is newer.
 */
export const updateCheckpoint = (
  task: TaskState,
  run: number,
  checkpoint: string,
): void => {
  if (checkpoint === '' || run < task.checkpointRun) return;
  task.checkpoint = checkpoint;
  task.checkpointRun = run;
};

/** Stores the checkpoints of those runs that are still active on a worker. */
export const saveCheckpoints = (
  db: Pick<WorkflowDb, 'findIncarnation' | 'findTask'>,
  life: WorkerIncarnation,
  runs: readonly VoidedRun[],
): void => {
  const active = db.findIncarnation(life)?.active;
  for (const {task, run, checkpoint} of runs) {
    const state = db.findTask(task);
    const isActive = active?.get(taskKey(task))?.run === run;
    if (isActive && state) updateCheckpoint(state, run, checkpoint);
  }
};

/** Marks a task as done and updates the counts of its step. */
export const markDone = (step: StepState, task: TaskState): void => {
  if (task.isDone) return;
  task.isDone = true;
  if (task.active.length === 0) step.idleCount--;
  step.doneCount++;
};

/** Adds the count of tasks without an active run to a step. */
export const withIdleCount = (
  step: Omit<StepState, 'idleCount'>,
): StepState => ({
  ...step,
  idleCount: step.tasks.filter(
    ({isDone, active}) => !isDone && active.length === 0,
  ).length,
});

/** Whether any task of a step has an active run. */
export const hasActiveRuns = ({tasks}: Pick<StepState, 'tasks'>): boolean =>
  tasks.some(({active}) => active.length > 0);

const UNSTARTED_STEPS = new WeakMap<WorkflowSpec, readonly StepState[]>();

/** Shared, read-only steps of an occurrence in which no task has started. */
export const unstartedSteps = (spec: WorkflowSpec): readonly StepState[] => {
  const known = UNSTARTED_STEPS.get(spec);
  if (known) return known;
  const steps = newOccurrence(spec);
  UNSTARTED_STEPS.set(spec, steps);
  return steps;
};

/**
 * Counts a failed run of a task, or of its gang as a whole.
 * @returns the failures of the task, or of the gang, so far.
 */
export const countFailure = (
  spec: StepSpec,
  step: StepState,
  {task, run}: Pick<RunEnd, 'task' | 'run'>,
): number => {
  const state = step.tasks[task.index]!;
  state.failures++;
  if (!spec.isGang) return state.failures;
  if (run > step.lastFailedRun) {
    step.lastFailedRun = run;
    step.gangFailures++;
  }
  return step.gangFailures;
};
