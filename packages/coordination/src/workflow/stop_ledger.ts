/** The stops that one leadership has ordered on one worker. */
import {
  taskKey,
  type PlannedStop,
  type TaskKey,
  type TaskRef,
  type WorkerState,
} from '@primrosewick/state';

/** Time after which a stop whose end is not listed is ordered again, in ms. */
const STOP_RETRY_MS = 1500;

/** A run to stop, and why. */
export interface StopRequest extends Pick<
  PlannedStop,
  'task' | 'run' | 'inFavourOf'
> {
  /** `not_recorded` for a run that the worker lists and the log does not know. */
  readonly why: PlannedStop['why'] | 'not_recorded';
}

/** Remembers which runs were told to stop. */
export class StopLedger {
  private readonly stops = new Map<
    TaskKey,
    {readonly run: number; readonly at: number}
  >();

  /**
   * Notes a stop that is wanted at a monotonic time in ms.
   * @returns whether it must be ordered, as none was ordered a moment ago.
   */
  note(task: TaskRef, run: number, now: number): boolean {
    const key = taskKey(task);
    const last = this.stops.get(key);
    if (last?.run === run && now < last.at + STOP_RETRY_MS) return false;
    this.stops.set(key, {run, at: now});
    return true;
  }

  /** Drops the stop of a task whose run has ended. */
  forget(task: TaskRef): void {
    this.stops.delete(taskKey(task));
  }

  /** Tasks whose active run was told to stop. */
  stoppingOf(active: WorkerState['active'] | undefined): TaskKey[] {
    if (this.stops.size === 0) return [];
    return [...this.stops]
      .filter(([key, {run}]) => active?.get(key)?.run === run)
      .map(([key]) => key);
  }
}
