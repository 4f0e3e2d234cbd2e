/** Tracks the stops that one leadership has sent to one worker. */
import {
  taskKey,
  type PlannedStop,
  type TaskKey,
  type TaskRef,
  type WorkerState,
} from '@primrosewick/state';

/** Time after which a stop is repeated if the end of the run is not listed, in ms. */
const STOP_RETRY_MS = 1500;

/** A run to stop, and the reason. */
export interface StopRequest extends Pick<
  PlannedStop,
  'task' | 'run' | 'inFavourOf'
> {
  /**
   * `not_recorded` for an orphaned run: listed by the worker, but not in the log;
   * `not_listed` for a recorded run that only an unreadable row may list;
   * `worker_leaves` for a run on a worker that has said that it leaves.
   */
  readonly why:
    PlannedStop['why'] | 'not_recorded' | 'not_listed' | 'worker_leaves';
}

/** Tracks which runs were ordered to stop. */
export class StopLedger {
  private readonly stops = new Map<
    TaskKey,
    {readonly run: number; readonly at: number}
  >();

  /**
   * Notes a stop that is requested at a monotonic time in ms.
   * @returns whether it must be sent; false if it was sent recently.
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

  /** Tasks whose active run was ordered to stop. */
  stoppingOf(active: WorkerState['active'] | undefined): TaskKey[] {
    if (this.stops.size === 0) return [];
    return [...this.stops]
      .filter(([key, {run}]) => active?.get(key)?.run === run)
      .map(([key]) => key);
  }
}
