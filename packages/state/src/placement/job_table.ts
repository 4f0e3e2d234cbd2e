import {reviverOf} from '../utils/image.js';
import type {JobRecord, TaskEnd} from '../cell/types.js';
import type {JobId, TaskId, WorkerId} from '../ids/types.js';
import {makeTaskId} from '../cell/jobs.js';
import type {Size} from '../documents/job.js';
import type {AttemptName} from './types.js';

/** State of a task that has left the initial waiting state. */
export type TaskState =
  | {
      readonly kind: 'waiting';
      readonly notBefore: number;
      readonly attempts: number;
    }
  | {readonly kind: 'recording'; readonly attempts: number}
  | {
      readonly kind: 'placed';
      readonly attempts: number;
      readonly attempt: AttemptName;
      readonly worker: WorkerId;
      readonly size: Size;
      /** `seq` of the announcement on which the start was based. */
      readonly leaseSeq: number;
      /** Time after which the worker must have stopped the task. */
      readonly deadline: number;
      /** Whether the worker has reported the attempt. */
      readonly isSeen: boolean;
      readonly stop: 'none' | 'cancel' | 'preempt';
    }
  | {readonly kind: 'ended'; readonly end: TaskEnd};

/** A placed task. */
export type PlacedTask = Extract<TaskState, {kind: 'placed'}>;

/** A job and its tasks that have left the initial waiting state. */
export interface JobView {
  record: JobRecord;
  /** Log index at which this leader first saw the job. */
  readonly index: number;
  /** Time at which this leader first saw the job. */
  readonly seenAt: number;
  readonly tasks: Map<TaskId, TaskState>;
  /** Tasks before this position have left the initial waiting state. */
  nextPosition: number;
  /**
   * Tasks that wait again after an attempt or after the record of their start.
   */
  readonly again: Set<TaskId>;
  /** Tasks that a worker has reported as running or ended. */
  readonly ran: Set<TaskId>;
  /** Tasks whose start is recorded, for work that runs at most once. */
  readonly started: Set<TaskId>;
  /** Workers on which tasks of the job have failed. */
  readonly failedOn: Set<WorkerId>;
  /**
   * Tasks for which others were preempted, and the time until which they wait
   * for the capacity.
   */
  readonly preempting: Map<TaskId, number>;
  /** Whether a reason for waiting was recorded since the last start. */
  hasWaitNote: boolean;
}

/** Jobs of one zone that have not ended. */
export class JobTable {
  private readonly jobs = new Map<JobId, JobView>();

  /** @returns a job, or undefined. */
  getJob(id: JobId): JobView | undefined {
    return this.jobs.get(id);
  }

  /** All jobs, in order of acceptance. */
  listJobs(): IterableIterator<JobView> {
    return this.jobs.values();
  }

  /** Adds a job or updates its record. */
  putJob(record: JobRecord, index: number, now: number): JobView {
    const known = this.jobs.get(record.id);
    const view = known ?? newView(record, index, now);
    view.record = record;
    this.jobs.set(record.id, view);
    for (const {task} of record.started) view.started.add(task);
    for (const end of record.ended)
      this.setState(view, end.task, {kind: 'ended', end});
    return view;
  }

  /** Drops a job that has ended. */
  removeJob(id: JobId): void {
    this.jobs.delete(id);
  }

  /** State of a task, or undefined while it is in the initial waiting state. */
  getState(view: JobView, task: TaskId): TaskState | undefined {
    return view.tasks.get(task);
  }

  /** Sets the state of a task. */
  setState(view: JobView, task: TaskId, state: TaskState): void {
    view.tasks.set(task, state);
    if (state.kind === 'waiting') view.again.add(task);
    else view.again.delete(task);
  }

  /** Tasks that could start now, at most `count`. */
  listStartable(view: JobView, now: number, count: number): TaskId[] {
    const tasks: TaskId[] = [];
    for (const task of view.again) {
      if (tasks.length === count) return tasks;
      const state = view.tasks.get(task);
      if (state?.kind === 'waiting' && state.notBefore <= now) tasks.push(task);
    }
    return [...tasks, ...this.listInitial(view, count - tasks.length)];
  }

  /** Whether any task of a job waits to be started. */
  hasWaiting(view: JobView): boolean {
    return view.again.size > 0 || this.listInitial(view, 1).length > 0;
  }

  private listInitial(view: JobView, count: number): TaskId[] {
    const {record, tasks} = view;
    const initial: TaskId[] = [];
    for (
      let position = view.nextPosition;
      position < record.spec.taskCount && initial.length < count;
      position++
    ) {
      const task = makeTaskId(record.id, position);
      if (!tasks.has(task)) initial.push(task);
      else if (position === view.nextPosition) view.nextPosition++;
    }
    return initial;
  }
}

const newView = (record: JobRecord, index: number, now: number): JobView => ({
  record,
  index,
  seenAt: now,
  tasks: new Map(),
  nextPosition: 0,
  again: new Set(),
  ran: new Set(),
  started: new Set(),
  failedOn: new Set(),
  preempting: new Map(),
  hasWaitNote: false,
});

/** Restores a table from its deserialized state. */
export const reviveJobTable = reviverOf(JobTable.prototype);
