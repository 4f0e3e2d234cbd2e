/**
 * Decides what is refused at once because of the work that waits before it.
 * Load pattern: far more is handed in than the workers can do, so that work at
 * the end of the line would be done long after anybody needs it, and takes room
 * from work that could still be in time.
 */
import type {Queue} from '../../bundle/types.js';
import type {WorkflowDb} from '../db.js';
import {longestChainMs} from '../planner/ready.js';
import type {StepSpec, StepState, WorkflowSpec} from '../types.js';
import type {Admission} from './types.js';

/** Multiple of its objective after which the end of a workflow is of no use. */
const USELESS_FACTOR = 3;
/** Longest time that a client is told to stay away, in ms. */
const MAX_RETRY_AFTER_MS = 30_000;

/**
 * Work of a step that is not done yet within a time, in thousandths of a core
 * times ms: a task keeps others from no more than its own room for that time.
 */
const restOf = (
  {room, estimateMs, taskCount, usesLeftover, isLongRunning}: StepSpec,
  state: StepState | undefined,
  withinMs: number,
): number =>
  usesLeftover || isLongRunning
    ? 0
    : (taskCount - (state?.doneCount ?? 0)) *
      room.cpuMillis *
      Math.min(estimateMs, withinMs);

/** Work that is served before or beside a queue in its pool within a time. */
const backlogOf = (
  db: WorkflowDb,
  {pool, priority}: Queue,
  withinMs: number,
): number => {
  let sum = 0;
  for (const {queue, spec, occurrences} of db.open.values()) {
    const other = db.queues.get(queue);
    if (!other || other.pool !== pool || other.priority > priority) continue;
    if (spec.firstDueAt > 0) continue;
    const states = occurrences.get(0);
    spec.steps.forEach(
      (step, i) => (sum += restOf(step, states?.[i], withinMs)),
    );
  }
  return sum;
};

/** Processor time of the workers of a pool, in thousandths of a core. */
const capacityOf = (db: WorkflowDb, {pool}: Queue): number => {
  let sum = 0;
  for (const {report} of db.workers.values())
    if (report.pool === pool && !report.isDraining)
      sum += report.room.cpuMillis;
  return sum;
};

/** Mean of the chains of the queue's open workflows, in ms: one estimate may be far off. */
const usualChainMs = (db: WorkflowDb, {name}: Queue): number => {
  let sum = 0;
  let count = 0;
  for (const {queue, spec} of db.open.values()) {
    if (queue !== name) continue;
    sum += longestChainMs(spec);
    count++;
  }
  return count === 0 ? 0 : sum / count;
};

/** Whether a workflow can be too late at all: others are due later, or never end. */
const isAwaited = ({firstDueAt, steps}: WorkflowSpec): boolean =>
  firstDueAt === 0 && steps.every(step => !step.isLongRunning);

/** Decides whether a workflow is taken. */
export const decideAdmission = (
  db: WorkflowDb,
  queue: Queue,
  spec: WorkflowSpec,
): Admission => {
  const capacity = capacityOf(db, queue);
  const chainMs = longestChainMs(spec);
  if (capacity === 0 || !isAwaited(spec))
    return {kind: 'admit', expectedMs: chainMs};
  const allowedMs = Math.max(chainMs, usualChainMs(db, queue));
  const objectiveMs = queue.objectiveMs + queue.stretch * allowedMs;
  const uselessMs = USELESS_FACTOR * objectiveMs;
  const waitMs = backlogOf(db, queue, uselessMs) / capacity;
  const expectedMs = Math.round(waitMs + chainMs);
  if (expectedMs <= uselessMs) return {kind: 'admit', expectedMs};
  const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, expectedMs - objectiveMs);
  return {kind: 'refuse', expectedMs, retryAfterMs: Math.round(retryAfterMs)};
};
