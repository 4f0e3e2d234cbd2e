/**
 * Remembers runs whose starts the next incarnation of their worker may execute,
 * as the one that they were for is over and never listed them.
 */
import type {WorkerId} from '../ids/types.js';
import {taskKey} from './refs.js';
import type {OrphanedRun} from './commands.js';
import type {TaskKey, TaskRef} from './types.js';

/** Maximum number of remembered runs; the oldest is dropped first. */
const MAX_ORPHANS = 4096;

/** The latest orphaned run of each task. Bounded by count, so that all voters drop the same. */
export class OrphanedRuns {
  private readonly orphans = new Map<TaskKey, OrphanedRun>();

  /** Adds runs that were for an incarnation of a worker. */
  add(
    worker: WorkerId,
    runs: ReadonlyArray<Pick<OrphanedRun, 'task' | 'run'>> = [],
  ): void {
    for (const {task, run} of runs) {
      this.orphans.delete(taskKey(task));
      this.orphans.set(taskKey(task), {worker, task, run});
    }
    for (const key of this.orphans.keys()) {
      if (this.orphans.size <= MAX_ORPHANS) return;
      this.orphans.delete(key);
    }
  }

  /** Drops the run of a task that is started anew, or of which this or a later run has ended. */
  delete(task: TaskRef, run: number): void {
    const key = taskKey(task);
    if (run >= (this.orphans.get(key)?.run ?? run)) this.orphans.delete(key);
  }

  /** All remembered runs, oldest first. */
  values(): OrphanedRun[] {
    return [...this.orphans.values()];
  }

  /** Replaces all by those of an image; older images have none. */
  restore(image: readonly OrphanedRun[] = []): void {
    this.orphans.clear();
    for (const {worker, ...run} of image) this.add(worker, [run]);
  }
}
