/** Tracks the progress of the runs that one worker lists. */
import {taskKey, type TaskKey} from '@primrosewick/state';
import type {ListedRun} from './ports.js';

/** A run as the worker listed it last, with its progress since it was first listed. */
export interface RunProgress extends ListedRun {
  /** Monotonic time at which its percentage last changed, in ms. */
  readonly changedAt: number;
  /** Percentage and monotonic time of the first list that contained the run. */
  readonly first: {readonly percent: number; readonly at: number};
  /** Estimated monotonic time of its end, in ms; undefined while unknown. */
  readonly endAt: number | undefined;
}

/** Minimum time and progress for estimating the rate of a run, in ms and percent. */
const MIN_OBSERVED_MS = 200;
const MIN_OBSERVED_PERCENT = 3;

interface ExpectedEnd {
  readonly key: TaskKey;
  readonly endAt: number;
}

/** Keeps the last list of runs, and when the progress of each last changed. */
export class ProgressTracker {
  private entries = new Map<TaskKey, RunProgress>();
  /** Runs with an estimated end, earliest first; computed on demand. */
  private byEnd: ReadonlyArray<ExpectedEnd> | undefined;

  /** Replaces the list by one that arrived at the monotonic time `now`, in ms. */
  note(running: readonly ListedRun[], now: number): void {
    const before = this.entries;
    this.entries = new Map();
    this.byEnd = undefined;
    for (const run of running) {
      const key = taskKey(run.task);
      const last = before.get(key);
      const previous = last?.run === run.run ? last : undefined;
      const isUnchanged = previous?.percent === run.percent;
      const progress = {
        ...run,
        changedAt: isUnchanged ? previous.changedAt : now,
        first: previous?.first ?? {percent: run.percent, at: now},
      };
      this.entries.set(key, {...progress, endAt: endAtOf(progress)});
    }
  }

  /** Whether the last list contained a run. */
  lists({task, run}: Pick<ListedRun, 'task' | 'run'>): boolean {
    return this.entries.get(taskKey(task))?.run === run;
  }

  /** The latest listed checkpoint of a run; empty if there is none. */
  checkpointOf(key: TaskKey, run: number): string {
    const entry = this.entries.get(key);
    return entry?.run === run ? entry.checkpoint : '';
  }

  /**
   * Estimates the time until a run ends from its rate of progress so far, in ms.
   * @returns undefined while too little progress was observed.
   */
  remainingMs(key: TaskKey, run: number, now: number): number | undefined {
    const entry = this.entries.get(key);
    if (entry?.run !== run) return undefined;
    return entry.endAt === undefined ? undefined : entry.endAt - now;
  }

  /** Tasks whose run is estimated to end before a monotonic time in ms. */
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

/** Runs with an estimated end, earliest first. */
const endsOf = (entries: ReadonlyMap<TaskKey, RunProgress>): ExpectedEnd[] => {
  const ends: ExpectedEnd[] = [];
  for (const [key, {endAt}] of entries)
    if (endAt !== undefined) ends.push({key, endAt});
  return ends.sort((a, b) => a.endAt - b.endAt);
};

/** Estimates the end of a run from its rate of progress so far. */
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
