/** What one worker last listed as under way. */
import {taskKey, type TaskKey} from '@primrosewick/state';
import type {ListedRun} from './ports.js';

/** What a worker last said of a run. */
export interface RunProgress extends ListedRun {
  /** Monotonic time since when it says the same share of work, in ms. */
  readonly changedAt: number;
  /** Share of work and monotonic time of the first list that named the run. */
  readonly first: {readonly percent: number; readonly at: number};
  /** Monotonic time at which it is expected to end, in ms; undefined while unknown. */
  readonly endAt: number | undefined;
}

/** Least time and progress from which the rate of a run is told, in ms and per cent. */
const MIN_OBSERVED_MS = 200;
const MIN_OBSERVED_PERCENT = 3;

interface ExpectedEnd {
  readonly key: TaskKey;
  readonly endAt: number;
}

/** Keeps the last list of runs, and since when each stands still. */
export class ProgressTracker {
  private entries = new Map<TaskKey, RunProgress>();
  /** Those whose end is expected, the first to end first; made when asked for. */
  private byEnd: ReadonlyArray<ExpectedEnd> | undefined;

  /** Takes a list that arrived at a monotonic time in ms. */
  note(running: readonly ListedRun[], now: number): void {
    const before = this.entries;
    this.entries = new Map();
    this.byEnd = undefined;
    for (const run of running) {
      const key = taskKey(run.task);
      const last = before.get(key);
      const known = last?.run === run.run ? last : undefined;
      const isSame = known?.percent === run.percent;
      const progress = {
        ...run,
        changedAt: isSame ? known.changedAt : now,
        first: known?.first ?? {percent: run.percent, at: now},
      };
      this.entries.set(key, {...progress, endAt: endAtOf(progress)});
    }
  }

  /** Checkpoint that was last listed of a run; empty without one. */
  checkpointOf(key: TaskKey, run: number): string {
    const entry = this.entries.get(key);
    return entry?.run === run ? entry.checkpoint : '';
  }

  /**
   * Expected time until a run ends, from the rate of its progress so far, in ms.
   * @returns undefined while too little of it was seen.
   */
  remainingMs(key: TaskKey, run: number, now: number): number | undefined {
    const entry = this.entries.get(key);
    if (entry?.run !== run) return undefined;
    return entry.endAt === undefined ? undefined : entry.endAt - now;
  }

  /** Runs that are expected to end before a monotonic time in ms. */
  endingBefore(at: number): TaskKey[] {
    this.byEnd ??= endsOf(this.entries);
    const keys: TaskKey[] = [];
    for (const {key, endAt} of this.byEnd) {
      if (endAt >= at) break;
      keys.push(key);
    }
    return keys;
  }

  /** All runs of the last list. */
  values(): Iterable<RunProgress> {
    return this.entries.values();
  }
}

/** Runs whose end is expected, the first to end first. */
const endsOf = (entries: ReadonlyMap<TaskKey, RunProgress>): ExpectedEnd[] => {
  const ends: ExpectedEnd[] = [];
  for (const [key, {endAt}] of entries)
    if (endAt !== undefined) ends.push({key, endAt});
  return ends.sort((a, b) => a.endAt - b.endAt);
};

/** When a run is expected to end, by the rate of its progress so far. */
const endAtOf = ({
  first,
  percent,
  changedAt,
}: Omit<RunProgress, 'endAt'>): number | undefined => {
  const tookMs = changedAt - first.at;
  const gained = percent - first.percent;
  if (tookMs < MIN_OBSERVED_MS || gained < MIN_OBSERVED_PERCENT)
    return undefined;
  return changedAt + ((100 - percent) * tookMs) / gained;
};
