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

const NONE: readonly ExpectedStart[] = [];

/** Remembers which starts are settled, so that a list is compared with what it can know. */
export class StartLedger {
  private readonly starts = new Map<TaskKey, OrderedStart>();
  private inFlightCount = 0;

  private put(start: OrderedStart): void {
    const key = taskKey(start.task);
    if (this.isInFlight(key)) this.inFlightCount--;
    if (start.kind === 'in_flight') this.inFlightCount++;
    this.starts.set(key, start);
  }

  /** Notes a start that is about to be recorded. */
  expect(task: TaskRef, run: number): void {
    this.put({kind: 'in_flight', task, run});
  }

  /** Notes that the worker has taken a start, at a monotonic time in ms. */
  confirm(task: TaskRef, run: number, at: number): void {
    this.put({kind: 'confirmed', task, run, at});
  }

  /** Drops a start that did not take place, or whose run has ended. */
  forget(task: TaskRef): void {
    const key = taskKey(task);
    if (this.isInFlight(key)) this.inFlightCount--;
    this.starts.delete(key);
  }

  /** Drops a start unless a later run of the task is meant. */
  forgetRun(task: TaskRef, run: number): void {
    if (this.starts.get(taskKey(task))?.run === run) this.forget(task);
  }

  /** Starts that are not settled. */
  get expected(): readonly ExpectedStart[] {
    if (this.inFlightCount === 0) return NONE;
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
