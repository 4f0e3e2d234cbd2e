/**
 * Chooses the workers to query an adviser about. Load pattern: hundreds of
 * workers, calls whose duration grows with each worker named, and short-lived
 * tickets, so that a query about all workers lets the first answers expire; and
 * hundreds of steps that query in the same pass, as after a time without a
 * leader, and would all get tickets for the same few workers.
 */
import type {AdviceTiming} from '../../bundle/types.js';
import type {WorkerId} from '../../ids/types.js';
import type {Resources, StepKey, StepSpec} from '../types.js';
import type {WorkerView} from './types.js';

/** Maximum number of workers named in one call to an adviser. */
export const MAX_ADVISED_WORKERS = 100;
/** Fraction of the workers that an adviser is expected to allow. */
const EXPECTED_SHARE = 0.35;
/**
 * Maximum number of workers named only to balance a call's fixed duration; more
 * would delay the answer, for which a step waits, and add little choice.
 */
const MAX_BALANCED_WORKERS = 36;
/** Fraction of a worker's busy resources that counts as available. */
const BUSY_SHARE = 0.25;
/**
 * Free task slots wanted for each task, so that a step need not wait for one
 * particular worker.
 */
const SLOTS_PER_TASK = 1.5;
/** Maximum number of tasks of one step that are counted on one worker. */
const MAX_COUNTED_TASKS = 64;

/**
 * Number of tasks of a step that fit into some resources, up to
 * MAX_COUNTED_TASKS.
 */
export const countFitting = (
  {room: size, maxPerWorker}: StepSpec,
  room: Resources,
): number => {
  const bound =
    maxPerWorker > 0
      ? Math.min(maxPerWorker, MAX_COUNTED_TASKS)
      : MAX_COUNTED_TASKS;
  return Math.max(
    0,
    Math.min(
      bound,
      timesFitting(size.cpuMillis, room.cpuMillis),
      timesFitting(size.memMb, room.memMb),
      timesFitting(size.gpus, room.gpus),
    ),
  );
};

/**
 * Number of times that an amount fits into a whole; 0 fits infinitely often,
 * unless the whole is negative.
 */
const timesFitting = (amount: number, whole: number): number => {
  if (amount > 0) return Math.floor(whole / amount);
  return whole >= 0 ? Number.POSITIVE_INFINITY : 0;
};

/** The waiting tasks of a step, and how long its adviser takes. */
interface WaitingStep {
  readonly key: StepKey;
  readonly spec: StepSpec;
  /** Number of waiting tasks. */
  readonly taskCount: number;
  readonly timing: AdviceTiming;
}

/** What the choice of workers to query depends on. */
export type QueriedWorker = Pick<WorkerView, 'worker' | 'free' | 'room'>;

/** The adviser's answers so far about the workers for a step. */
interface QueriedWorkers {
  readonly asked: ReadonlySet<WorkerId>;
  /** Suitable workers on which the step may run. */
  readonly allowed: readonly WorkerView[];
}

/**
 * Number of tasks of a step that fit now on the workers on which it may run.
 */
const countAllowedFitting = (
  spec: StepSpec,
  allowed: readonly WorkerView[],
): number => {
  let sum = 0;
  for (const {free} of allowed) sum += countFitting(spec, free);
  return sum;
};

/** Number of workers whose share of a call's duration equals its fixed part. */
const balancedCount = ({baseMs, perWorkerMs}: AdviceTiming): number =>
  perWorkerMs > 0 ? Math.ceil(baseMs / perWorkerMs) : MAX_ADVISED_WORKERS;

/** Workers on which the same number of a step's tasks fit. */
interface WorkerBucket {
  /** Tasks that fit on each of them now, and on each when it is empty. */
  readonly now: number;
  readonly empty: number;
  readonly workers: WorkerId[];
}

/**
 * Workers not queried yet that could hold a task, ordered by the tasks that fit
 * now, then by those that fit when empty, largest first. Counts are small, so
 * workers are bucketed by both counts and not sorted one by one.
 */
const bucketByFit = (
  spec: StepSpec,
  views: readonly QueriedWorker[],
  asked: ReadonlySet<WorkerId> | undefined,
): readonly WorkerBucket[] => {
  const lists = new Map<number, WorkerBucket>();
  for (const {worker, free, room} of views) {
    if (asked?.has(worker)) continue;
    const empty = countFitting(spec, room);
    if (empty === 0) continue;
    const now = countFitting(spec, free);
    const rank = now * (MAX_COUNTED_TASKS + 1) + empty;
    const list = lists.get(rank);
    if (list) list.workers.push(worker);
    else lists.set(rank, {now, empty, workers: [worker]});
  }
  return [...lists.values()].sort((a, b) => b.now - a.now || b.empty - a.empty);
};

/**
 * Chooses the workers to query next, those with most free resources first: as
 * many as are expected to hold the waiting tasks, and enough to balance the
 * fixed duration of a call, because a step with few known workers preempts
 * others needlessly. Among workers with equal room, each step begins at its own
 * place.
 * @param workers - workers of the pool that could run the step.
 * @returns an empty list if the workers known to be allowed hold enough tasks.
 */
export const chooseWorkersToQuery = (
  {key, spec, taskCount, timing}: WaitingStep,
  workers: readonly QueriedWorker[],
  advice: QueriedWorkers | undefined,
): WorkerId[] => {
  const knownCount = advice ? countAllowedFitting(spec, advice.allowed) : 0;
  const missingCount = SLOTS_PER_TASK * taskCount - knownCount;
  if (missingCount <= 0) return [];
  const chosen: WorkerId[] = [];
  const wantedCount = Math.min(MAX_BALANCED_WORKERS, balancedCount(timing));
  const hash = hashOf(key);
  let expectedCount = 0;
  for (const bucket of bucketByFit(spec, workers, advice?.asked)) {
    const {now, empty} = bucket;
    for (const worker of rotate(bucket.workers, hash)) {
      const isEnough =
        expectedCount >= missingCount && chosen.length >= wantedCount;
      if (isEnough || chosen.length >= MAX_ADVISED_WORKERS) return chosen;
      // A busy worker has free resources only some of the time.
      expectedCount += (now + (empty - now) * BUSY_SHARE) * EXPECTED_SHARE;
      chosen.push(worker);
    }
  }
  return chosen;
};

/** The items in the same cyclic order, from another first one. */
const rotate = <T>(items: readonly T[], by: number): T[] => {
  const first = by % items.length;
  return [...items.slice(first), ...items.slice(0, first)];
};

/** Hashes a text to an unsigned integer of 32 bits (FNV-1a). */
const hashOf = (text: string): number => {
  let hash = 2166136261;
  for (let i = 0; i < text.length; i++)
    hash = Math.imul(hash ^ text.charCodeAt(i), 16777619);
  return (hash ^ (hash >>> 15)) >>> 0;
};
