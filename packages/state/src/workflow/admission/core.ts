/**
 * Admission control: rejects a workflow at submission when the backlog before
 * it is too large. Load pattern: sustained overload, in which work at the end
 * of the queue would complete long after it is needed, and take resources from
 * work that could still be in time.
 */
import type {Queue} from '../../bundle/types.js';
import type {WorkflowDb} from '../db.js';
import {
  expectedChainMs,
  expectedSpec,
  usedSpeedOf,
} from '../planner/expected_times.js';
import type {StepSpec, StepState, WorkflowSpec} from '../types.js';
import type {Admission} from './types.js';

/**
 * Multiple of its objective after which the result of a workflow is useless.
 */
const USELESS_FACTOR = 3;
/** Maximum retry delay that a client is given, in ms. */
const MAX_RETRY_AFTER_MS = 30_000;

/**
 * Remaining work of a step within a time, in thousandths of a core times ms.
 * Estimates are capped at that time, because a task blocks no more than its own
 * resources for that long.
 */
const remainingWork = (
  {room, estimateMs, taskCount, usesLeftover, isLongRunning}: StepSpec,
  state: StepState | undefined,
  withinMs: number,
): number =>
  usesLeftover || isLongRunning
    ? 0
    : (taskCount - (state?.doneCount ?? 0)) *
      room.cpuMillis *
      Math.min(estimateMs, withinMs);

/**
 * Remaining work within a time of the queues of the same pool that have the
 * same or a more urgent priority, in thousandths of a core times ms.
 */
const backlogOf = (
  db: WorkflowDb,
  {pool, priority}: Queue,
  withinMs: number,
): number => {
  let sum = 0;
  for (const workflow of db.open.values()) {
    const {queue, spec, occurrences} = workflow;
    const other = db.queues.get(queue);
    if (!other || other.pool !== pool || other.priority > priority) continue;
    if (spec.firstDueAt > 0) continue;
    const states = occurrences.get(0);
    spec.steps.forEach(
      (step, i) =>
        (sum += remainingWork(
          expectedSpec(db, workflow, i, step),
          states?.[i],
          withinMs,
        )),
    );
  }
  return sum;
};

/**
 * Processor capacity of a pool without draining workers, in thousandths of a
 * core at speed 1.
 */
const capacityOf = (db: WorkflowDb, {pool}: Queue): number => {
  let sum = 0;
  for (const {report} of db.workers.values())
    if (report.pool === pool && !report.isDraining)
      sum += report.room.cpuMillis * usedSpeedOf(db, report);
  return sum;
};

/**
 * Upper bound of the backlog: the work that was accepted, whatever part of it is
 * done. It needs no walk over the open workflows, of which there are most when
 * the leader has the least time.
 */
const acceptedWork = (db: WorkflowDb, {pool, priority}: Queue): number => {
  let sum = 0;
  for (const other of db.queues.values())
    if (other.pool === pool && other.priority <= priority)
      sum +=
        db.open.workOf(other.name).work *
        db.estimates.durations.ratioOf(other.name);
  return sum;
};

/**
 * Mean critical path of the queue's open workflows, in ms; used beside a
 * workflow's own estimate, which may be far off.
 */
const meanChainMs = (db: WorkflowDb, {name}: Queue): number => {
  const {count, chainMs} = db.open.workOf(name);
  const ratio = db.estimates.durations.ratioOf(name);
  return count === 0 ? 0 : (ratio * chainMs) / count;
};

/**
 * Whether a workflow is due now and ends; one that is timed or never ends
 * cannot be late.
 */
const isDueNow = ({firstDueAt, steps}: WorkflowSpec): boolean =>
  firstDueAt === 0 && steps.every(step => !step.isLongRunning);

/** Decides whether a workflow is admitted. */
export const decideAdmission = (
  db: WorkflowDb,
  queue: Queue,
  spec: WorkflowSpec,
): Admission => {
  const capacity = capacityOf(db, queue);
  const chainMs = expectedChainMs(db, queue, spec);
  if (capacity === 0 || !isDueNow(spec))
    return {kind: 'admit', expectedMs: chainMs};
  const allowedMs = Math.max(chainMs, meanChainMs(db, queue));
  const objectiveMs = queue.objectiveMs + queue.stretch * allowedMs;
  const uselessMs = USELESS_FACTOR * objectiveMs;
  const expectedAfter = (work: number): number =>
    Math.round(work / capacity + chainMs);
  const latestMs = expectedAfter(acceptedWork(db, queue));
  if (latestMs <= uselessMs) return {kind: 'admit', expectedMs: latestMs};
  const expectedMs = expectedAfter(backlogOf(db, queue, uselessMs));
  if (expectedMs <= uselessMs) return {kind: 'admit', expectedMs};
  const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, expectedMs - objectiveMs);
  return {kind: 'refuse', expectedMs, retryAfterMs: Math.round(retryAfterMs)};
};
