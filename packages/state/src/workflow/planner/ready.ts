/** Finds the steps whose tasks may start, in the order in which they are served. */
import type {Queue} from '../../bundle/types.js';
import {occurrenceCount, type WorkflowDb} from '../db.js';
import {stepKey} from '../refs.js';
import type {StepState, WorkflowSpec, WorkflowState} from '../types.js';
import type {ReadyStep} from './types.js';

/** Longest chain of estimated work through the steps, in ms. */
export const longestChainMs = ({steps}: WorkflowSpec): number => {
  const ends: number[] = [];
  for (const {after, estimateMs} of steps) {
    const start = Math.max(0, ...after.map(index => ends[index] ?? 0));
    ends.push(start + estimateMs);
  }
  return Math.max(0, ...ends);
};

/** Wall time at which an occurrence is due to start, in ms since 1970. */
export const startDueAt = (
  {acceptedAt, spec}: WorkflowState,
  occurrence: number,
): number =>
  spec.firstDueAt > 0
    ? spec.firstDueAt + occurrence * spec.intervalMs
    : acceptedAt;

/** Whether all tasks of the steps that a step follows are done. */
export const hasPredecessorsDone = (
  spec: WorkflowSpec,
  steps: readonly StepState[],
  step: number,
): boolean =>
  (spec.steps[step]?.after ?? []).every(index => {
    const earlier = steps[index];
    return earlier !== undefined && earlier.doneCount === earlier.tasks.length;
  });

/** All steps that may start now, most urgent first. */
export const findReadySteps = (db: WorkflowDb, wall: number): ReadyStep[] => {
  const ready: ReadyStep[] = [];
  for (const workflow of db.open.values()) {
    const queue = db.queues.get(workflow.queue);
    if (queue) addReadySteps(db, workflow, queue, wall, ready);
  }
  return ready.sort((a, b) => a.priority - b.priority || a.dueAt - b.dueAt);
};

const addReadySteps = (
  db: WorkflowDb,
  workflow: WorkflowState,
  queue: Queue,
  wall: number,
  ready: ReadyStep[],
): void => {
  const {spec, id} = workflow;
  const allowanceMs = queue.objectiveMs + queue.stretch * longestChainMs(spec);
  for (let occurrence = 0; occurrence < occurrenceCount(spec); occurrence++) {
    const startAt = startDueAt(workflow, occurrence);
    if (spec.firstDueAt > 0 && startAt > wall) return;
    const steps = db.stepsOf(workflow, occurrence);
    steps.forEach((step, index) => {
      if (step.doneCount === step.tasks.length) return;
      if (!hasPredecessorsDone(spec, steps, index)) return;
      const ref = {workflow: id, occurrence, step: index};
      ready.push({
        ref,
        key: stepKey(ref),
        priority: queue.priority,
        dueAt: startAt + allowanceMs,
      });
    });
  }
};
