/**
 * Chooses the workers to ask an adviser about. Load pattern: hundreds of
 * workers, calls that cost time for each worker named, and tickets that lapse
 * soon, so that asking about all workers makes the first answers useless.
 */
import type {AdviceTiming} from '../../bundle/types.js';
import type {WorkerId} from '../../ids/types.js';
import type {Resources, StepSpec} from '../types.js';
import type {WorkerView} from './types.js';

/** Most workers named in one call to an adviser. */
export const MAX_ADVISED_WORKERS = 100;
/** Share of the workers that an adviser is expected to allow. */
const EXPECTED_SHARE = 0.35;
/** Workers beyond which a longer call gives little choice more: somebody waits for the answer. */
const MAX_BALANCED = 36;
/** Part of the room that a busy worker counts with. */
const BUSY_SHARE = 0.25;
/** Free places wanted for each task, so that one worker more or less is not waited for. */
const PLACES_PER_TASK = 1.5;
/** Most tasks of one step that are counted on one worker. */
const MAX_COUNTED = 64;

/** How many tasks of a step a room holds. */
export const countFitting = (
  {room: size, maxPerWorker}: StepSpec,
  room: Resources,
): number => {
  const bound =
    maxPerWorker > 0 ? Math.min(maxPerWorker, MAX_COUNTED) : MAX_COUNTED;
  return Math.max(
    0,
    Math.min(
      bound,
      timesIn(size.cpuMillis, room.cpuMillis),
      timesIn(size.memMb, room.memMb),
      timesIn(size.gpus, room.gpus),
    ),
  );
};

/** How often an amount is in a whole; of nothing there is any number, but not in less than nothing. */
const timesIn = (amount: number, whole: number): number => {
  if (amount > 0) return Math.floor(whole / amount);
  return whole >= 0 ? Number.POSITIVE_INFINITY : 0;
};

/** What is known of the workers for a step. */
interface KnownWorkers {
  readonly asked: ReadonlySet<WorkerId>;
  /** Those that it may run on, of the workers that could run it. */
  readonly allowed: readonly WorkerView[];
}

/** Places that a step has now on the workers that it may run on. */
const placesOf = (spec: StepSpec, allowed: readonly WorkerView[]): number => {
  let sum = 0;
  for (const {free} of allowed) sum += countFitting(spec, free);
  return sum;
};

/** Workers whose time in a call equals the fixed time of the call. */
const balancedCount = ({baseMs, perWorkerMs}: AdviceTiming): number =>
  perWorkerMs > 0 ? Math.ceil(baseMs / perWorkerMs) : MAX_ADVISED_WORKERS;

/** Workers with the same number of places for a step. */
interface EqualWorkers {
  /** Places on each now, and on each when it is empty. */
  readonly now: number;
  readonly empty: number;
  readonly workers: WorkerId[];
}

/**
 * Workers not asked about that could hold a task, those with most places now
 * first, and of these the largest. Counts are small, so workers are put into
 * one list for each pair of counts in place of being compared with each other.
 */
const byPlaces = (
  spec: StepSpec,
  views: readonly WorkerView[],
  asked: ReadonlySet<WorkerId> | undefined,
): readonly EqualWorkers[] => {
  const lists = new Map<number, EqualWorkers>();
  for (const {worker, free, room} of views) {
    if (asked?.has(worker)) continue;
    const empty = countFitting(spec, room);
    if (empty === 0) continue;
    const now = countFitting(spec, free);
    const rank = now * (MAX_COUNTED + 1) + empty;
    const list = lists.get(rank);
    if (list) list.workers.push(worker);
    else lists.set(rank, {now, empty, workers: [worker]});
  }
  return [...lists.values()].sort((a, b) => b.now - a.now || b.empty - a.empty);
};

/**
 * Workers to ask about next: those with the most room first, as many as are
 * expected to give enough places, and no fewer than the fixed time of a call is
 * worth: a step that knows few workers has others give way where it need not.
 * @param workers - workers of the pool that could run the step.
 * @param taskCount - tasks of the step that wait.
 * @returns none where the answers so far give enough places.
 */
export const chooseWorkersToQuery = (
  spec: StepSpec,
  workers: readonly WorkerView[],
  taskCount: number,
  terms: AdviceTiming,
  advice: KnownWorkers | undefined,
): WorkerId[] => {
  const known = advice ? placesOf(spec, advice.allowed) : 0;
  const missing = PLACES_PER_TASK * taskCount - known;
  if (missing <= 0) return [];
  const chosen: WorkerId[] = [];
  const wantedCount = Math.min(MAX_BALANCED, balancedCount(terms));
  let expected = 0;
  for (const equals of byPlaces(spec, workers, advice?.asked)) {
    const {now, empty} = equals;
    for (const worker of equals.workers) {
      const isEnough = expected >= missing && chosen.length >= wantedCount;
      if (isEnough || chosen.length >= MAX_ADVISED_WORKERS) return chosen;
      // A busy worker has room only now and then.
      expected += (now + (empty - now) * BUSY_SHARE) * EXPECTED_SHARE;
      chosen.push(worker);
    }
  }
  return chosen;
};
