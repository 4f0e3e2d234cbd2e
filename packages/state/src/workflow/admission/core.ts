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
import {
  USELESS_FACTOR,
  defersUseless,
  isUseless,
} from '../planner/useless_work.js';
import type {
  StepSpec,
  StepState,
  WorkflowId,
  WorkflowSpec,
  WorkflowState,
} from '../types.js';
import {rateLimitOf} from './customer_rate.js';
import {hasFreeRoom} from './free_room.js';
import {spreadOf} from './retry_spread.js';
import type {Admission, SubmissionTerms} from './types.js';

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

/** Whether the work of an open workflow counts as backlog. */
type BacklogFilter = (workflow: WorkflowState, queue: Queue) => boolean;

/**
 * Remaining work within a time of the queues of the same pool that have the
 * same or a more urgent priority, in thousandths of a core times ms.
 */
const backlogOf = (
  db: WorkflowDb,
  {pool, priority}: Queue,
  withinMs: number,
  isCounted: BacklogFilter,
): number => {
  let sum = 0;
  for (const workflow of db.open.values()) {
    const {queue, spec, occurrences} = workflow;
    const other = db.queues.get(queue);
    if (!other || other.pool !== pool || other.priority > priority) continue;
    if (spec.firstDueAt > 0 || !isCounted(workflow, other)) continue;
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

/** Times of a workflow of a queue, in ms. */
interface AllowedTimes {
  readonly chainMs: number;
  readonly objectiveMs: number;
}

/** Times of a workflow with a critical path; by the mean of its queue if that is longer. */
const allowedTimes = (
  db: WorkflowDb,
  queue: Queue,
  chainMs: number,
): AllowedTimes => {
  const allowedMs = Math.max(chainMs, meanChainMs(db, queue));
  return {chainMs, objectiveMs: queue.objectiveMs + queue.stretch * allowedMs};
};

/**
 * Expected time until a workflow of a queue would be done, in ms; an upper bound
 * where that is within `withinMs`.
 */
const expectedTime = (
  db: WorkflowDb,
  queue: Queue,
  {
    chainMs,
    withinMs,
    isCounted,
  }: {
    readonly chainMs: number;
    readonly withinMs: number;
    readonly isCounted: BacklogFilter;
  },
): number => {
  const capacity = capacityOf(db, queue);
  const expectedAfter = (work: number): number =>
    Math.round(work / capacity + chainMs);
  const latestMs = expectedAfter(acceptedWork(db, queue));
  if (latestMs <= withinMs) return latestMs;
  return expectedAfter(backlogOf(db, queue, withinMs, isCounted));
};

/**
 * Whether the work of a queue, and of each less urgent one of its pool, can be
 * done within the objective: more urgent work delays all of them.
 */
const isAllInTime = (
  db: WorkflowDb,
  queue: Queue,
  chainMs: number,
  isCounted: BacklogFilter,
): boolean => {
  for (const other of db.queues.values()) {
    const isSame = other.name === queue.name;
    if (other.pool !== queue.pool || other.priority < queue.priority) continue;
    if (!isSame && db.open.workOf(other.name).count === 0) continue;
    const own = isSame ? chainMs : meanChainMs(db, other);
    const times = allowedTimes(db, other, own);
    const withinMs = times.objectiveMs;
    const expectedMs = expectedTime(db, other, {...times, withinMs, isCounted});
    if (expectedMs > withinMs) return false;
  }
  return true;
};

/**
 * Wall time from which a submission is within its customer's rate, in ms since
 * 1970, which is not after `wall` if it is now.
 */
const rateRoomAt = (
  db: WorkflowDb,
  {customer, wall}: SubmissionTerms,
): number => {
  const terms = customer === undefined ? undefined : db.customers.get(customer);
  if (!terms) return wall;
  const limit = rateLimitOf(terms, db.rates.terms);
  return db.rates.roomAt(terms.name, limit, wall);
};

/** Whether a bundle in force has customers. */
const hasCustomers = ({bundle}: WorkflowDb): boolean =>
  (bundle?.customers?.length ?? 0) > 0;

/**
 * Decides on a submission beyond the rate of its customer, which is within it
 * after `waitMs`: it is admitted only while everything can be in time.
 */
const decideBeyondRate = (
  db: WorkflowDb,
  queue: Queue,
  spec: WorkflowSpec,
  {
    id,
    waitMs,
    isCounted,
  }: {
    readonly id: WorkflowId;
    readonly waitMs: number;
    readonly isCounted: BacklogFilter;
  },
): Admission => {
  const chainMs = expectedChainMs(db, queue, spec);
  const times = allowedTimes(db, queue, chainMs);
  const withinMs = USELESS_FACTOR * times.objectiveMs;
  const expectedMs = expectedTime(db, queue, {...times, withinMs, isCounted});
  const hasRoom =
    isAllInTime(db, queue, chainMs, isCounted) ||
    hasFreeRoom(db, queue, spec, isCounted);
  if (hasRoom) return {kind: 'admit', expectedMs, isBeyondRate: true};
  const retryAfterMs = waitMs + spreadOf(id, db.rates.terms);
  return {kind: 'over_rate', expectedMs, retryAfterMs};
};

/**
 * Decides on a submission within the rate of its customer, or without customer:
 * it is admitted unless it would be done too late to be useful.
 */
const decideWithinRate = (
  db: WorkflowDb,
  queue: Queue,
  spec: WorkflowSpec,
  isCounted: BacklogFilter,
): Admission => {
  const times = allowedTimes(db, queue, expectedChainMs(db, queue, spec));
  const withinMs = USELESS_FACTOR * times.objectiveMs;
  const expectedMs = expectedTime(db, queue, {...times, withinMs, isCounted});
  const isTaken =
    expectedMs <= withinMs ||
    (hasCustomers(db) && hasFreeRoom(db, queue, spec, isCounted));
  if (isTaken) return {kind: 'admit', expectedMs};
  const retryAfterMs = Math.min(
    MAX_RETRY_AFTER_MS,
    expectedMs - times.objectiveMs,
  );
  return {kind: 'refuse', expectedMs, retryAfterMs: Math.round(retryAfterMs)};
};

/**
 * Decides whether a workflow is admitted. While there is room, everything is;
 * without room, what is beyond the rate of its customer is rejected first, and
 * others are admitted as if it had not been accepted.
 */
export const decideAdmission = (
  db: WorkflowDb,
  queue: Queue,
  spec: WorkflowSpec,
  submission?: SubmissionTerms,
): Admission => {
  const roomAt = submission ? rateRoomAt(db, submission) : 0;
  const waitMs = submission ? Math.ceil(roomAt - submission.wall) : 0;
  if (capacityOf(db, queue) === 0 || !isDueNow(spec))
    return {
      kind: 'admit',
      expectedMs: expectedChainMs(db, queue, spec),
      ...(waitMs > 0 && {isBeyondRate: true}),
    };
  const mayDefer = submission !== undefined && defersUseless(db);
  const isUseful: BacklogFilter = (workflow, other) =>
    !mayDefer || !isUseless(workflow, other, submission.wall);
  if (submission && waitMs > 0)
    return decideBeyondRate(db, queue, spec, {
      id: submission.id,
      waitMs,
      isCounted: isUseful,
    });
  return decideWithinRate(
    db,
    queue,
    spec,
    (workflow, other) =>
      (workflow.hasStarted || !workflow.isBeyondRate) &&
      isUseful(workflow, other),
  );
};
