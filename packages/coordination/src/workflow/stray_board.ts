/** Tasks whose start order may have been taken by the next life of a worker. */
import {taskKey, type TaskKey, type WorkerId} from '@primrosewick/state';
import type {ExpectedStart} from './start_ledger.js';

/**
 * Time for which such a start holds its task back, in ms: the next life is
 * told to stop it as soon as it lists it.
 */
const STRAY_HOLD_MS = 2500;

/** Holds tasks back until a stray run of theirs is sure to be stopped. */
export class StrayBoard {
  private readonly strays = new Map<
    TaskKey,
    {readonly worker: WorkerId; readonly until: number}
  >();

  /** Notes the starts under way to a life that is over, at a time in ms. */
  note(worker: WorkerId, starts: readonly ExpectedStart[], now: number): void {
    const until = now + STRAY_HOLD_MS;
    for (const {task} of starts)
      this.strays.set(taskKey(task), {worker, until});
  }

  /** Adds the tasks that are held back to those with a start under way. */
  addTo(pending: Map<TaskKey, WorkerId>, now: number): void {
    for (const [key, {worker, until}] of this.strays) {
      if (now < until) pending.set(key, worker);
      else this.strays.delete(key);
    }
  }
}
