/**
 * Finds accepted work that can no longer be useful. Load pattern: overload, in
 * which late work takes room from work that could still be in time, so that
 * all of it is late.
 */
import type {Queue} from '../../bundle/types.js';
import type {WorkflowDb} from '../db.js';
import type {WorkflowState} from '../types.js';
import {chainFromMs, dueAtOf, startDueAt} from './ready.js';
import type {PlanInput, ReadyStep} from './types.js';

/** Multiple of its objective after which the result of a workflow is useless. */
export const USELESS_FACTOR = 3;
/**
 * Multiple of its objective after which useless work is served like other work
 * again, so that it does not starve under a permanent overload.
 */
const STARVED_FACTOR = 8;

/**
 * Whether useless work is deferred, given the setting that asks for it without
 * customers.
 */
export const defersUseless = (
  {bundle}: Pick<WorkflowDb, 'bundle'>,
  mayDeferUseless = false,
): boolean => mayDeferUseless || (bundle?.customers?.length ?? 0) > 0;

/**
 * Whether a workflow is expected to finish past three times its objective even
 * if its waiting steps started now. Steps without waiting tasks count as done:
 * how much of them is left is not known. Timed work and work that never ends is
 * not useless.
 */
export const isUseless = (
  workflow: WorkflowState,
  queue: Queue,
  wall: number,
): boolean => {
  const {spec, occurrences} = workflow;
  if (spec.firstDueAt > 0 || spec.steps.some(step => step.isLongRunning))
    return false;
  const startAt = startDueAt(workflow, 0);
  const allowedMs = dueAtOf(workflow, queue, 0) - startAt;
  if (wall >= startAt + STARVED_FACTOR * allowedMs) return false;
  const uselessAt = startAt + USELESS_FACTOR * allowedMs;
  const states = occurrences.get(0);
  return spec.steps.some(
    (_, step) =>
      (!states || (states[step]?.idleCount ?? 0) > 0) &&
      wall + chainFromMs(spec, step) > uselessAt,
  );
};

/**
 * Ready steps of useful and of useless work, each in the given order; all count
 * as useful if useless work is not deferred.
 */
export const splitUseless = (
  ready: readonly ReadyStep[],
  {db, wall, mayDeferUseless}: PlanInput,
): {readonly useful: ReadyStep[]; readonly useless: ReadyStep[]} => {
  const useful: ReadyStep[] = [];
  const useless: ReadyStep[] = [];
  const isDeferring = defersUseless(db, mayDeferUseless);
  for (const step of ready) {
    const workflow = isDeferring ? db.open.get(step.ref.workflow) : undefined;
    const queue = workflow && db.queues.get(workflow.queue);
    if (workflow && queue && isUseless(workflow, queue, wall))
      useless.push({...step, isUseless: true});
    else useful.push(step);
  }
  return {useful, useless};
};
