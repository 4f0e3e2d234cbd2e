/** Finds runs that are no longer needed. */
import type {WorkflowDb} from '../db.js';
import {stepKey, taskKeyIn} from '../refs.js';
import type {StepRef, StepState, TaskRef, WorkflowState} from '../types.js';
import type {PlanInput, PlannedStop} from './types.js';

type StopReason = PlannedStop['why'];
type Inputs = Pick<PlanInput, 'db' | 'pending'>;

/**
 * Runs to stop; those with a pending start are left for a later pass. Checks
 * only the stop candidates of the state, so that a pass costs nothing for all
 * other runs.
 */
export const findStops = (input: Inputs): PlannedStop[] => {
  const {db} = input;
  const stops: PlannedStop[] = [];
  for (const id of db.running.ending) {
    const workflow = db.workflows.get(id);
    if (workflow) addEnded(input, workflow, stops);
  }
  for (const [key, task] of db.running.doneWithRuns) {
    const isOpen = db.open.has(task.workflow);
    if (isOpen && !input.pending.has(key))
      addRuns(db, task, 'task_done', stops);
  }
  for (const gang of db.running.gangs.values())
    addBrokenGang(input, gang, stops);
  // A replay iterates the candidates in another order.
  return stops.sort(byTask);
};

/** Stops for all runs of a workflow that has ended. */
const addEnded = (
  {db, pending}: Inputs,
  {id, spec, occurrences}: WorkflowState,
  stops: PlannedStop[],
): void => {
  for (const [occurrence, steps] of occurrences)
    steps.forEach((state, step) => {
      const ref = {workflow: id, occurrence, step};
      const key = stepKey(ref);
      const isGang = spec.steps[step]?.isGang === true;
      state.tasks.forEach(({active, isDone}, index) => {
        // The members of a completed gang end without a stop.
        if (active.length === 0 || (isDone && isGang)) return;
        if (!pending.has(taskKeyIn(key, index)))
          addRuns(db, {...ref, index}, 'workflow_ended', stops);
      });
    });
};

/**
 * Stops for the runs of a gang with a member that is neither active nor
 * pending.
 */
const addBrokenGang = (
  {db, pending}: Inputs,
  gang: StepRef,
  stops: PlannedStop[],
): void => {
  const state = db.open.get(gang.workflow)?.occurrences.get(gang.occurrence)?.[
    gang.step
  ];
  if (!state) return;
  const key = stepKey(gang);
  const isPending = (index: number): boolean =>
    pending.has(taskKeyIn(key, index));
  for (const run of runsOf(state)) {
    const isWhole = state.tasks.every(
      ({active}, index) =>
        active.some(other => other.run === run) || isPending(index),
    );
    if (isWhole) continue;
    state.tasks.forEach(({active, isDone}, index) => {
      const member = active.find(other => other.run === run);
      if (!member || isDone || isPending(index)) return;
      stops.push({...member, task: {...gang, index}, why: 'gang_broken'});
    });
  }
};

const runsOf = ({tasks}: StepState): Set<number> =>
  new Set(tasks.flatMap(({active}) => active.map(({run}) => run)));

const addRuns = (
  db: WorkflowDb,
  task: TaskRef,
  why: StopReason,
  stops: PlannedStop[],
): void => {
  for (const {run, worker, bornAt} of db.findTask(task)?.active ?? [])
    stops.push({task, run, worker, bornAt, why});
};

const byTask = (a: PlannedStop, b: PlannedStop): number =>
  compare(a.task.workflow, b.task.workflow) ||
  a.task.occurrence - b.task.occurrence ||
  a.task.step - b.task.step ||
  a.task.index - b.task.index ||
  a.run - b.run;

const compare = (a: string, b: string): number => {
  if (a === b) return 0;
  return a < b ? -1 : 1;
};
