/** Expected times of the steps of a job, from run estimates and speeds. */
import type {WorkflowDb} from '../db.js';
import type {PlannedStart} from '../planner/types.js';
import type {WorkflowState} from '../types.js';
import {expectedChains, expectedMsOf} from '../planner/expected_times.js';
import type {ExpectedTimes, StepAnswer} from './types.js';

/** What the times of a job are computed from. */
export interface TimesInput {
  readonly db: WorkflowDb;
  readonly workflow: WorkflowState;
  readonly starts: readonly PlannedStart[];
  /** Expected time until it is done, by admission, in ms. */
  readonly expectedMs: number;
}

/** A step without its times. */
export type UntimedStep = StepAnswer extends infer S
  ? S extends StepAnswer
    ? Omit<S, keyof ExpectedTimes>
    : never
  : never;

/** When the last tasks of a ready step start; by the backlog, if that is known. */
const readyStartMs = (
  {db, workflow, expectedMs}: TimesInput,
  step: UntimedStep & {readonly kind: 'ready'},
): number | undefined => {
  if (!step.wait) return 0;
  const backlogMs = expectedMs - expectedChains(db, workflow, 0).longestMs;
  return backlogMs > 0 ? Math.round(backlogMs) : undefined;
};

/** When a step that follows others, or is timed, starts. */
const laterStartMs = (
  {workflow}: TimesInput,
  after: readonly number[],
  earlier: readonly StepAnswer[],
): number | undefined => {
  const {acceptedAt, spec} = workflow;
  let latest = Math.max(0, spec.firstDueAt - acceptedAt);
  for (const index of after) {
    const endMs = earlier[index]?.endMs;
    if (endMs === undefined) return undefined;
    latest = Math.max(latest, endMs);
  }
  return latest;
};

/** How long a step takes on the workers on which it starts, else at speed 1. */
const durationMs = (
  {db, workflow, starts}: TimesInput,
  step: number,
): number => {
  const expectedMs = expectedMsOf(db, workflow, 0, step);
  const own = starts.filter(({task}) => task.step === step);
  if (own.length === 0) return Math.round(expectedMs);
  const times = own.map(({expected}) => expected?.ms ?? expectedMs);
  return Math.round(Math.max(...times));
};

/** Adds expected times to the steps, which are in topological order. */
export const withTimes = (
  input: TimesInput,
  steps: readonly UntimedStep[],
): StepAnswer[] => {
  const timed: StepAnswer[] = [];
  for (const step of steps) {
    const startMs =
      step.kind === 'ready'
        ? readyStartMs(input, step)
        : laterStartMs(input, step.after, timed);
    const hasStart = step.kind === 'ready' && step.starts.length > 0;
    const firstMs = hasStart ? 0 : startMs;
    const isLasting = input.workflow.spec.steps[step.step]?.isLongRunning;
    timed.push({
      ...step,
      ...(firstMs !== undefined && {startMs: firstMs}),
      ...(startMs !== undefined &&
        !isLasting && {endMs: startMs + durationMs(input, step.step)}),
    });
  }
  return timed;
};
