/** Small steps on the states of workflows, steps and tasks. */
import type {
  StepState,
  TaskState,
  WorkflowSpec,
  WorkflowState,
} from './types.js';

/** Runs of a workflow that may be under way. */
export const countActiveRuns = ({occurrences}: WorkflowState): number => {
  let count = 0;
  for (const steps of occurrences.values())
    for (const {tasks} of steps)
      for (const {active} of tasks) count += active.length;
  return count;
};

/**
 * Forgets what nobody asks of a workflow that has ended and runs nothing, so
 * that the state does not grow with all that was done within `keepEndedMs`.
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

/** How often the steps of a workflow run. */
export const occurrenceCount = (spec: WorkflowSpec): number =>
  Math.max(1, spec.occurrences);

const freshTask = (): TaskState => ({
  isDone: false,
  lastRun: 0,
  failures: 0,
  checkpoint: '',
  checkpointRun: 0,
  active: [],
});

/** Steps of an occurrence of which nothing has started. */
export const newOccurrence = (spec: WorkflowSpec): StepState[] =>
  spec.steps.map(({taskCount}) => ({
    tasks: Array.from({length: taskCount}, freshTask),
    doneCount: 0,
    idleCount: taskCount,
    gangFailures: 0,
    lastFailedRun: 0,
  }));

/** A later run goes on from the checkpoint of an earlier one, so its own is newer. */
export const updateCheckpoint = (
  task: TaskState,
  run: number,
  checkpoint: string,
): void => {
  if (checkpoint === '' || run < task.checkpointRun) return;
  task.checkpoint = checkpoint;
  task.checkpointRun = run;
};

/** Notes that a task is done. */
export const markDone = (step: StepState, task: TaskState): void => {
  if (task.isDone) return;
  task.isDone = true;
  if (task.active.length === 0) step.idleCount--;
  step.doneCount++;
};

/** A step with the count of its tasks that nothing runs. */
export const withIdleCount = (
  step: Omit<StepState, 'idleCount'>,
): StepState => ({
  ...step,
  idleCount: step.tasks.filter(
    ({isDone, active}) => !isDone && active.length === 0,
  ).length,
});

/** Whether anything of a step is under way. */
export const hasActiveRuns = ({tasks}: Pick<StepState, 'tasks'>): boolean =>
  tasks.some(({active}) => active.length > 0);

const UNTOUCHED = new WeakMap<WorkflowSpec, readonly StepState[]>();

/** Steps of an occurrence of which nothing has started, to be read only. */
export const unstartedSteps = (spec: WorkflowSpec): readonly StepState[] => {
  const known = UNTOUCHED.get(spec);
  if (known) return known;
  const steps = newOccurrence(spec);
  UNTOUCHED.set(spec, steps);
  return steps;
};
