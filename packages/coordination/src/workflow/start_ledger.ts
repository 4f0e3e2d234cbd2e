/** The starts that one leadership has proposed or ordered on one worker. */
import {taskKey, type TaskKey, type TaskRef} from '@primrosewick/state';

/** A start that is proposed or ordered. */
export interface ExpectedStart {
  readonly task: TaskRef;
  readonly run: number;
}

type OrderedStart =
  | (ExpectedStart & {readonly kind: 'in_flight'})
  | (ExpectedStart & {readonly kind: 'confirmed'; readonly at: number});

/** Remembers which starts are settled, so that a list is compared with what it can know. */
export class StartLedger {
  private readonly starts = new Map<TaskKey, OrderedStart>();

  /** Notes a start that is about to be recorded. */
  expect(task: TaskRef, run: number): void {
    this.starts.set(taskKey(task), {kind: 'in_flight', task, run});
  }

  /** Notes that the worker has taken a start, at a monotonic time in ms. */
  confirm(task: TaskRef, run: number, at: number): void {
    this.starts.set(taskKey(task), {kind: 'confirmed', task, run, at});
  }

  /** Drops a start that did not take place, or whose run has ended. */
  forget(task: TaskRef): void {
    this.starts.delete(taskKey(task));
  }

  /** Drops a start unless a later run of the task is meant. */
  forgetRun(task: TaskRef, run: number): void {
    if (this.starts.get(taskKey(task))?.run === run) this.forget(task);
  }

  /** Starts that are not settled. */
  get expected(): ExpectedStart[] {
    return [...this.starts.values()].filter(({kind}) => kind === 'in_flight');
  }

  /** Whether a start of a task is not settled. */
  isInFlight(key: TaskKey): boolean {
    return this.starts.get(key)?.kind === 'in_flight';
  }

  /** Whether a run was ordered here. */
  isOrdered(key: TaskKey, run: number): boolean {
    return this.starts.get(key)?.run === run;
  }

  /** Whether a list asked for at a time may not show a run yet. */
  isUnsettled(key: TaskKey, run: number, askedAt: number): boolean {
    const start = this.starts.get(key);
    if (!start || start.run !== run) return false;
    return start.kind === 'in_flight' || start.at >= askedAt;
  }
}
