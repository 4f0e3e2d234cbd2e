/** Expected remaining times of runs, as queried by one pass. */
import type {WorkerId} from '../../ids/types.js';
import {ENDING_SOON_MS} from '../planner/preemption.js';
import type {PlanInput} from '../planner/types.js';
import type {TaskKey} from '../types.js';
import type {PassEvent} from './types.js';

/** Provides the remaining times for one pass. */
export interface RemainingTimeSource {
  readonly remainingMs: PlanInput['remainingMs'];
  /** Superset of the runs on a worker that end soon; no others are checked. */
  readonly possiblyEndingRuns: (worker: WorkerId) => Iterable<TaskKey>;
}

const NO_RUNS: ReadonlySet<TaskKey> = new Set();

/**
 * Caches the remaining time of each run for one pass: a second query a moment
 * later would give the pass another value than its journal holds. A task and
 * its copy are two runs, so times are kept by worker and task. Where a pass
 * queries only which runs of a worker end soon, the journal holds just these,
 * without the times of all runs.
 */
export class RemainingTimes {
  private readonly known = new Map<
    WorkerId,
    Map<TaskKey, number | undefined>
  >();
  private readonly endingByWorker = new Map<WorkerId, ReadonlySet<TaskKey>>();

  constructor(private readonly source: RemainingTimeSource) {}

  /** Expected time until a run ends, in ms; undefined when unknown. */
  get(worker: WorkerId, key: TaskKey): number | undefined {
    const times = this.known.get(worker) ?? new Map<TaskKey, undefined>();
    this.known.set(worker, times);
    if (times.has(key)) return times.get(key);
    const ms = this.source.remainingMs(worker, key);
    times.set(key, ms);
    return ms;
  }

  /** Runs on a worker that end within ENDING_SOON_MS. */
  endsSoon(worker: WorkerId): ReadonlySet<TaskKey> {
    const known = this.endingByWorker.get(worker);
    if (known) return known;
    let ending: Set<TaskKey> | undefined;
    for (const key of this.source.possiblyEndingRuns(worker)) {
      const ms = this.source.remainingMs(worker, key);
      if (ms === undefined || ms >= ENDING_SOON_MS) continue;
      ending ??= new Set();
      ending.add(key);
    }
    this.endingByWorker.set(worker, ending ?? NO_RUNS);
    return ending ?? NO_RUNS;
  }

  /** The answers given so far, for the journal. */
  get lines(): Pick<PassEvent, 'remaining' | 'endingSoon'> {
    return {
      remaining: [...this.known].flatMap(([worker, times]) =>
        [...times].flatMap(([key, ms]) =>
          ms === undefined ? [] : [[worker, key, ms] as const],
        ),
      ),
      endingSoon: [...this.endingByWorker].flatMap(([worker, keys]) =>
        [...keys].map(key => [worker, key] as const),
      ),
    };
  }
}

/** Reproduces the answers that a journaled pass was given. */
export const journaledTimes = ({
  remaining,
  endingSoon,
}: Pick<PassEvent, 'remaining' | 'endingSoon'>): Pick<
  RemainingTimes,
  'get' | 'endsSoon'
> => {
  const times = new Map(
    remaining.map(([worker, key, ms]) => [`${worker} ${key}`, ms]),
  );
  const endingByWorker = new Map<WorkerId, Set<TaskKey>>();
  for (const [worker, key] of endingSoon)
    endingByWorker.set(
      worker,
      (endingByWorker.get(worker) ?? new Set()).add(key),
    );
  return {
    get: (worker, key) => times.get(`${worker} ${key}`),
    endsSoon: worker => endingByWorker.get(worker) ?? new Set(),
  };
};
