/**
 * Remembers runs whose starts the next incarnation of their worker may execute,
 * as the one that they were for is over and never listed them.
 */
import type {WorkerId} from '../ids/types.js';
import {taskKey} from './refs.js';
import type {StrayRun, TaskKey, TaskRef} from './types.js';

/** Maximum number of remembered runs; the oldest is dropped first. */
const MAX_STRAYS = 4096;

/** The latest stray run of each task. Bounded by count, so that all voters drop the same. */
export class StrayRuns {
  private readonly strays = new Map<TaskKey, StrayRun>();

  /** Adds runs that were for an incarnation of a worker. */
  add(
    worker: WorkerId,
    runs: ReadonlyArray<Pick<StrayRun, 'task' | 'run'>> = [],
  ): void {
    for (const {task, run} of runs) {
      this.strays.delete(taskKey(task));
      this.strays.set(taskKey(task), {worker, task, run});
    }
    for (const key of this.strays.keys()) {
      if (this.strays.size <= MAX_STRAYS) return;
      this.strays.delete(key);
    }
  }

  /** Drops the run of a task that is started anew or has ended. */
  delete(task: TaskRef): void {
    this.strays.delete(taskKey(task));
  }

  /** All remembered runs, oldest first. */
  values(): StrayRun[] {
    return [...this.strays.values()];
  }

  /** Replaces all by those of an image; older images have none. */
  restore(image: readonly StrayRun[] = []): void {
    this.strays.clear();
    for (const {worker, ...run} of image) this.add(worker, [run]);
  }
}
