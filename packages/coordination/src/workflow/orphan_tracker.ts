/** Tasks whose start order may have been taken by the next life of a worker. */
import {taskKey, type TaskKey, type WorkerId} from '@primrosewick/state';
import type {ExpectedStart} from './start_ledger.js';

/**
 * Time for which such a start holds its task back, in ms: the next life is
 * told to stop it as soon as it lists it.
 */
const ORPHAN_HOLD_MS = 2500;

/** Holds tasks back until a stray run of theirs is sure to be stopped. */
export class OrphanTracker {
  private readonly orphans = new Map<
    TaskKey,
    {readonly worker: WorkerId; readonly until: number}
  >();

  /** Notes the starts under way to a life that is over, at a time in ms. */
  note(worker: WorkerId, starts: readonly ExpectedStart[], now: number): void {
    const until = now + ORPHAN_HOLD_MS;
    for (const {task} of starts)
      this.orphans.set(taskKey(task), {worker, until});
  }

  /** Tasks that are held back at a time in ms, with the worker that may run them. */
  heldBack(now: number): Array<readonly [TaskKey, WorkerId]> {
    for (const [key, {until}] of this.orphans)
      if (now >= until) this.orphans.delete(key);
    return [...this.orphans].map(([key, {worker}]) => [key, worker]);
  }
}
