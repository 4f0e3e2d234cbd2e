/** What one worker last listed as under way. */
import {taskKey, type TaskKey} from '@primrosewick/state';
import type {ListedRun} from './ports.js';

/** What a worker last said of a run. */
export interface RunProgress extends ListedRun {
  /** Monotonic time since when it says the same share of work, in ms. */
  readonly changedAt: number;
}

/** Keeps the last list of runs, and since when each stands still. */
export class ProgressBoard {
  private entries = new Map<TaskKey, RunProgress>();

  /** Takes a list that arrived at a monotonic time in ms. */
  note(running: readonly ListedRun[], now: number): void {
    const before = this.entries;
    this.entries = new Map();
    for (const run of running) {
      const key = taskKey(run.task);
      const last = before.get(key);
      const isSame = last?.run === run.run && last.percent === run.percent;
      const changedAt = isSame ? last.changedAt : now;
      this.entries.set(key, {...run, changedAt});
    }
  }

  /** Checkpoint that was last listed of a run; empty without one. */
  checkpointOf(key: TaskKey, run: number): string {
    const entry = this.entries.get(key);
    return entry?.run === run ? entry.checkpoint : '';
  }

  /** All runs of the last list. */
  values(): Iterable<RunProgress> {
    return this.entries.values();
  }
}
