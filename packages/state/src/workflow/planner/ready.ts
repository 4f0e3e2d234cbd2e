/** Finds the steps whose tasks may start, in the order of service. */
import type {Queue} from '../../bundle/types.js';
import type {WorkflowDb} from '../db.js';
import {occurrenceCount} from '../task_state.js';
import {stepKey} from '../refs.js';
import type {StepState, WorkflowSpec, WorkflowState} from '../types.js';
import {expectedChains} from './expected_times.js';
import type {ReadyStep} from './types.js';

/**
 * Critical paths of a workflow's steps; cached, as a specification never
 * changes.
 */
export interface Chains {
  /** From each step to the end, in ms. */
  readonly fromMs: readonly number[];
  readonly longestMs: number;
}

const CHAINS = new WeakMap<WorkflowSpec, Chains>();

/** Critical paths by the estimates of the client. */
export const chainsOf = (spec: WorkflowSpec): Chains => {
  const known = CHAINS.get(spec);
  if (known) return known;
  const chains = computeChains(
    spec,
    index => spec.steps[index]?.estimateMs ?? 0,
  );
  CHAINS.set(spec, chains);
  return chains;
};

/** Critical paths by given times of the steps' tasks, in ms. */
export const computeChains = (
  spec: WorkflowSpec,
  msOf: (index: number) => number,
): Chains => {
  const times = spec.steps.map((_, index) => msOf(index));
  const fromMs = [...times];
  // Steps are in topological order, so the last ones are computed first.
  for (let index = spec.steps.length - 1; index >= 0; index--)
    for (const before of spec.steps[index]?.after ?? [])
      fromMs[before] = Math.max(
        fromMs[before] ?? 0,
        (times[before] ?? 0) + (fromMs[index] ?? 0),
      );
  return {fromMs, longestMs: Math.max(0, ...fromMs)};
};

/**
 * Critical path of a workflow: longest chain of estimates through its steps, in
 * ms.
 */
export const longestChainMs = (spec: WorkflowSpec): number =>
  chainsOf(spec).longestMs;

/** Longest chain of estimates from a step to the end, in ms. */
export const chainFromMs = (spec: WorkflowSpec, step: number): number =>
  chainsOf(spec).fromMs[step] ?? 0;

/** Wall time at which an occurrence is due to start, in ms since 1970. */
export const startDueAt = (
  {acceptedAt, spec}: WorkflowState,
  occurrence: number,
): number =>
  spec.firstDueAt > 0
    ? spec.firstDueAt + occurrence * spec.intervalMs
    : acceptedAt;

/** Wall time by which an occurrence should be done, in ms since 1970. */
export const dueAtOf = (
  workflow: WorkflowState,
  {objectiveMs, stretch}: Queue,
  occurrence: number,
  longestMs = longestChainMs(workflow.spec),
): number =>
  startDueAt(workflow, occurrence) + objectiveMs + stretch * longestMs;

/** Whether all tasks of a step's predecessors are done. */
export const arePredecessorsDone = (
  spec: WorkflowSpec,
  steps: readonly StepState[],
  step: number,
): boolean =>
  (spec.steps[step]?.after ?? []).every(index => {
    const earlier = steps[index];
    return earlier !== undefined && earlier.doneCount === earlier.tasks.length;
  });

/** Finds all steps whose tasks or copies may start now, most urgent first. */
export const findReadySteps = (db: WorkflowDb, wall: number): ReadyStep[] => {
  const ready: ReadyStep[] = [];
  for (const workflow of db.open.values()) {
    const queue = db.queues.get(workflow.queue);
    if (queue) addReadySteps(db, workflow, queue, wall, ready);
  }
  return ready.sort(
    (a, b) =>
      a.priority - b.priority ||
      Number(a.isLate) - Number(b.isLate) ||
      a.dueAt - b.dueAt,
  );
};

/**
 * Multiple of its allowed time after which a late workflow is no longer
 * deferred.
 */
export const OVERDUE_FACTOR = 2;

/**
 * Whether a workflow would be late; false for one long overdue, so that it is
 * not starved.
 */
const isLate = (
  {
    dueAt,
    startAt,
    wall,
  }: {
    readonly dueAt: number;
    readonly startAt: number;
    readonly wall: number;
  },
  chainMs: number,
): boolean => {
  const overdueAt = startAt + OVERDUE_FACTOR * (dueAt - startAt);
  return wall < overdueAt && wall + chainMs > dueAt;
};

const addReadySteps = (
  db: WorkflowDb,
  workflow: WorkflowState,
  queue: Queue,
  wall: number,
  ready: ReadyStep[],
): void => {
  const {spec, id} = workflow;
  for (let occurrence = 0; occurrence < occurrenceCount(spec); occurrence++) {
    const startAt = startDueAt(workflow, occurrence);
    if (spec.firstDueAt > 0 && startAt > wall) return;
    const {longestMs, fromMs} = expectedChains(db, workflow, occurrence);
    const dueAt = dueAtOf(workflow, queue, occurrence, longestMs);
    const steps = db.stepsOf(workflow, occurrence);
    steps.forEach((step, index) => {
      const isWaiting = step.idleCount > 0;
      const mayNeedCopies = spec.steps[index]?.isSpeculative === true;
      if (step.doneCount === step.tasks.length) return;
      if (!isWaiting && !mayNeedCopies) return;
      if (!arePredecessorsDone(spec, steps, index)) return;
      const ref = {workflow: id, occurrence, step: index};
      ready.push({
        ref,
        key: stepKey(ref),
        priority: queue.priority,
        dueAt,
        isLate: isLate({dueAt, startAt, wall}, fromMs[index] ?? 0),
      });
    });
  }
};
