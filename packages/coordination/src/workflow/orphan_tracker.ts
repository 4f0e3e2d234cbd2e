/** Tracks tasks whose start may have been accepted by a worker's next incarnation. */
import {taskKey, type TaskKey, type WorkerId} from '@primrosewick/state';
import type {ExpectedStart} from './start_ledger.js';

/**
 * Time for which a task with a possible orphaned run is held back, in ms. The
 * next incarnation is ordered to stop the run as soon as it lists it.
 */
const ORPHAN_HOLD_MS = 2500;

/** Holds tasks back until any orphaned run of theirs is certain to be stopped. */
export class OrphanTracker {
  private readonly orphans = new Map<
    TaskKey,
    {readonly worker: WorkerId; readonly until: number}
  >();

  /** Notes starts in flight to an incarnation that has ended, at a monotonic time in ms. */
  note(worker: WorkerId, starts: readonly ExpectedStart[], now: number): void {
    const until = now + ORPHAN_HOLD_MS;
    for (const {task} of starts)
      this.orphans.set(taskKey(task), {worker, until});
  }

  /** Tasks held back at a monotonic time in ms, each with the worker that may run it. */
  heldBack(now: number): Array<readonly [TaskKey, WorkerId]> {
    for (const [key, {until}] of this.orphans)
      if (now >= until) this.orphans.delete(key);
    return [...this.orphans].map(([key, {worker}]) => [key, worker]);
  }
}
