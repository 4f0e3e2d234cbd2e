/** Tracks the starts that one leadership has proposed for or sent to one worker. */
import {taskKey, type TaskKey, type TaskRef} from '@primrosewick/state';
import type {OrderFailure} from './ports.js';

/** A start that is proposed or sent. */
export interface ExpectedStart {
  readonly task: TaskRef;
  readonly run: number;
}

type TrackedStart =
  | (ExpectedStart & {readonly kind: 'in_flight'})
  | (ExpectedStart & {readonly kind: 'confirmed'; readonly at: number});

const NO_STARTS: readonly ExpectedStart[] = [];

/** Tracks which starts are settled, as a list may predate a start that it lacks. */
export class StartLedger {
  private readonly starts = new Map<TaskKey, TrackedStart>();
  private inFlightCount = 0;
  /** Starts that the worker may yet execute, or its next incarnation, by task. */
  private readonly unanswered = new Map<TaskKey, ExpectedStart>();

  private put(start: TrackedStart): void {
    const key = taskKey(start.task);
    if (this.isInFlight(key)) this.inFlightCount--;
    if (start.kind === 'in_flight') this.inFlightCount++;
    this.starts.set(key, start);
  }

  /** Notes a start that is about to be proposed to the log. */
  expect(task: TaskRef, run: number): void {
    this.put({kind: 'in_flight', task, run});
  }

  /** Drops a failed start, but remembers whether it may be executed elsewhere or later. */
  settleFailed({task, run}: ExpectedStart, failure: OrderFailure): void {
    this.forget(task);
    const isAnswered = failure.kind !== 'no_answer';
    const isElsewhere = failure.kind === 'other_life' && failure.isNextLife;
    if (!isAnswered || isElsewhere)
      this.unanswered.set(taskKey(task), {task, run});
  }

  /** Notes runs that the worker may never have had; their starts may still arrive. */
  noteUndelivered<T extends ExpectedStart>(starts: readonly T[]): readonly T[] {
    for (const {task, run} of starts) {
      const key = taskKey(task);
      if (!this.unanswered.has(key)) this.unanswered.set(key, {task, run});
    }
    return starts;
  }

  /** Notes a list under a fence that outdates all starts without an answer. */
  noteFencedList(): void {
    this.unanswered.clear();
  }

  /** Starts that the next incarnation of the worker may execute, or has. */
  get undelivered(): readonly ExpectedStart[] {
    return [...this.expected, ...this.unanswered.values()];
  }

  /** Notes that the worker accepted a start, at a monotonic time in ms. */
  confirm(task: TaskRef, run: number, at: number): void {
    this.put({kind: 'confirmed', task, run, at});
  }

  /** Drops a start that failed, or whose run has ended. */
  forget(task: TaskRef): void {
    const key = taskKey(task);
    if (this.isInFlight(key)) this.inFlightCount--;
    this.starts.delete(key);
  }

  /** Drops the start of a task if it is that of the given run. */
  forgetRun(task: TaskRef, run: number): void {
    if (this.starts.get(taskKey(task))?.run === run) this.forget(task);
  }

  /** Unsettled starts. */
  get expected(): readonly ExpectedStart[] {
    if (this.inFlightCount === 0) return NO_STARTS;
    return [...this.starts.values()].filter(({kind}) => kind === 'in_flight');
  }

  /** Whether a task has an unsettled start. */
  isInFlight(key: TaskKey): boolean {
    return this.starts.get(key)?.kind === 'in_flight';
  }

  /** Whether the latest start of a task is that of the given run. */
  isOrdered(key: TaskKey, run: number): boolean {
    return this.starts.get(key)?.run === run;
  }

  /** Whether a list requested at the monotonic time `askedAt` may lack a started run. */
  isUnsettled(key: TaskKey, run: number, askedAt: number): boolean {
    const start = this.starts.get(key);
    if (!start || start.run !== run) return false;
    return start.kind === 'in_flight' || start.at >= askedAt;
  }
}
