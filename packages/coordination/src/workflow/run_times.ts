/** How long the runs on the workers still take, by the lists that leaders got last. */
import {
  ENDING_SOON_MS,
  RemainingTimes,
  type TaskKey,
  type WorkerId,
  type WorkflowDb,
} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import type {ProgressTracker} from './progress_tracker.js';

/** What the estimates are made from. */
export interface RunTimesSources {
  readonly db: WorkflowDb;
  readonly clock: Clock;
  readonly channels: ReadonlyMap<
    WorkerId,
    {readonly progress: ProgressTracker}
  >;
}

/** Estimates of one planner pass. */
export const runTimesOf = ({
  db,
  clock,
  channels,
}: RunTimesSources): RemainingTimes => {
  const remainingMs = (worker: WorkerId, key: TaskKey): number | undefined => {
    const run = db.workers.get(worker)?.active.get(key)?.run;
    if (run === undefined) return undefined;
    const progress = channels.get(worker)?.progress;
    return progress?.remainingMs(key, run, clock.now());
  };
  // The extra ms guards against rounding; callers check each candidate again.
  const possiblyEndingRuns = (worker: WorkerId): Iterable<TaskKey> =>
    channels
      .get(worker)
      ?.progress.endingBefore(clock.now() + ENDING_SOON_MS + 1) ?? [];
  return new RemainingTimes({remainingMs, possiblyEndingRuns});
};
