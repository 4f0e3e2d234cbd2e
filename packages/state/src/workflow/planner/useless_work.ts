/**
 * Finds accepted work that can no longer be useful. Load pattern: overload, in
 * which late work takes room from work that could still be in time, so that
 * all of it is late.
 */
import type {Queue} from '../../bundle/types.js';
import type {WorkflowDb} from '../db.js';
import type {WorkflowState} from '../types.js';
import {expectedChains} from './expected_times.js';
import {dueAtOf, startDueAt} from './ready.js';
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
  db: Pick<WorkflowDb, 'estimates'>,
  workflow: WorkflowState,
  queue: Queue,
  wall: number,
): boolean => {
  const {spec, occurrences} = workflow;
  if (spec.firstDueAt > 0 || spec.steps.some(step => step.isLongRunning))
    return false;
  const startAt = startDueAt(workflow, 0);
  const {longestMs, fromMs} = expectedChains(db, workflow, 0);
  const allowedMs = dueAtOf(workflow, queue, 0, longestMs) - startAt;
  if (wall >= startAt + STARVED_FACTOR * allowedMs) return false;
  const uselessAt = startAt + USELESS_FACTOR * allowedMs;
  const states = occurrences.get(0);
  return spec.steps.some(
    (_, step) =>
      (!states || (states[step]?.idleCount ?? 0) > 0) &&
      wall + (fromMs[step] ?? 0) > uselessAt,
  );
};

/**
 * Ready steps of useful and of useless work, each in the given order. All steps of
 * a pool count as useful if useless work is not deferred, or if nothing else waits
 * there.
 */
export const splitUseless = (
  ready: readonly ReadyStep[],
  {db, wall, mayDeferUseless}: PlanInput,
): {readonly useful: ReadyStep[]; readonly useless: ReadyStep[]} => {
  if (!defersUseless(db, mayDeferUseless))
    return {useful: [...ready], useless: []};
  const judged = ready.map(step => {
    const workflow = db.open.get(step.ref.workflow);
    const queue = workflow && db.queues.get(workflow.queue);
    const mayWait =
      queue !== undefined && isUseless(db, workflow!, queue, wall);
    return {step, pool: queue?.pool, mayWait};
  });
  const contended = new Set(
    judged.filter(({mayWait}) => !mayWait).map(({pool}) => pool),
  );
  const useful: ReadyStep[] = [];
  const useless: ReadyStep[] = [];
  for (const {step, pool, mayWait} of judged)
    if (mayWait && contended.has(pool))
      useless.push({...step, isUseless: true});
    else useful.push(step);
  return {useful, useless};
};
