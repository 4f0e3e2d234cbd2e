import {reviverOf} from '../utils/image.js';
import {hasTask, jobOfTask} from '../cell/jobs.js';
import type {TaskEnd} from '../cell/types.js';
import type {TaskOutcome} from '../documents/job.js';
import type {Epoch, TaskId} from '../ids/types.js';
import type {DecisionNote} from '../requests/types.js';
import {JobQueue, reviveJobQueue} from './job_queue.js';
import {
  JobTable,
  reviveJobTable,
  type JobView,
  type PlacedTask,
  type TaskState,
} from './job_table.js';
import {TeamQuotas, reviveTeamQuotas} from './team_quotas.js';
import {
  attemptKeyOf,
  type PlacementEffect,
  type PlacementLimits,
} from './types.js';
import {WorkerTable, reviveWorkerTable} from './worker_table.js';

/** Options shared by the parts of the core. */
export interface ContextOptions {
  readonly epoch: Epoch;
  readonly startedAt: number;
  readonly limits: PlacementLimits;
}

/** State shared by the parts of the placement core. */
export class PlacementContext {
  readonly epoch: Epoch;
  readonly startedAt: number;
  readonly limits: PlacementLimits;
  readonly workers: WorkerTable;
  readonly jobs = new JobTable();
  readonly queue: JobQueue;
  readonly quotas = new TeamQuotas();
  now = 0;
  /** Whether waiting tasks or free capacity were added since the last pass. */
  isDirty = false;
  /** Log index above which jobs were accepted in this epoch. */
  barrier = Number.POSITIVE_INFINITY;
  effects: PlacementEffect[] = [];
  notes: DecisionNote[] = [];
  private ends: TaskEnd[] = [];

  constructor(options: ContextOptions) {
    this.epoch = options.epoch;
    this.startedAt = options.startedAt;
    this.limits = options.limits;
    this.workers = new WorkerTable(options.limits);
    this.queue = new JobQueue(options.limits.ageingMs);
  }

  /** Records the reason for a decision. */
  note(subject: string, reason: string): void {
    this.notes.push({subject, reason});
  }

  /**
   * Time after which no attempt that an earlier leader started can still run
   * unreported.
   */
  get priorLeaseDeadline(): number {
    return this.startedAt + this.limits.taskLeaseMs + this.limits.marginMs;
  }

  /**
   * Time by which a worker that announces itself now must have stopped attempts
   * that are not renewed.
   */
  get leaseDeadline(): number {
    return this.now + this.limits.taskLeaseMs + this.limits.marginMs;
  }

  /**
   * Whether an earlier leader may have started tasks of a job that no worker
   * has reported yet.
   */
  isAwaitingLeaseExpiry(view: JobView): boolean {
    return (
      view.record.acceptedIndex <= this.barrier &&
      this.now < this.priorLeaseDeadline
    );
  }

  /**
   * Whether an earlier leader recorded the start of a task that no worker has
   * reported since.
   */
  isUnreportedStart({record, tasks, started}: JobView, task: TaskId): boolean {
    return (
      record.acceptedIndex <= this.barrier &&
      started.has(task) &&
      !tasks.has(task)
    );
  }

  /** Ends a cancelled task that no worker can be running. */
  endCancelled(view: JobView, task: TaskId, attempt: number): void {
    if (this.isUnreportedStart(view, task))
      return this.end(view, task, attempt, 'unknown');
    if (!this.hasNeverRun(view, task))
      return this.end(view, task, attempt, 'cancelled');
    // An attempt that was lost before any report of it may have run.
    this.end(view, task, attempt, attempt > 0 ? 'unknown' : 'not_run');
  }

  /** Whether neither this leader nor an earlier one can have started a task. */
  private hasNeverRun({record, ran, started}: JobView, task: TaskId): boolean {
    if (ran.has(task)) return false;
    const isRecorded = record.profile.stopping.repeat.kind === 'at_most_once';
    return (
      record.acceptedIndex > this.barrier || (isRecorded && !started.has(task))
    );
  }

  /**
   * Ends as `unknown` the at-most-once tasks whose recorded start was never
   * reported.
   */
  endUnreportedStarts(view: JobView): void {
    if (view.record.acceptedIndex > this.barrier) return;
    if (view.record.profile.stopping.repeat.kind !== 'at_most_once') return;
    for (const task of view.started) {
      if (this.isUnreportedStart(view, task))
        this.end(view, task, 1, 'unknown');
    }
  }

  /** Sets the state of a task and updates the quota usage of its team. */
  setState(view: JobView, task: TaskId, state: TaskState): void {
    const {team, size} = view.record.spec;
    const wasPlaced = this.jobs.getState(view, task)?.kind === 'placed';
    const isPlaced = state.kind === 'placed';
    if (wasPlaced !== isPlaced)
      this.quotas.add(team, isPlaced ? size.cpuMillis : -size.cpuMillis);
    this.jobs.setState(view, task, state);
    if (state.kind !== 'waiting') return;
    this.queue.add(view, this.now);
    this.isDirty = true;
  }

  /** Returns a task to the waiting state. */
  requeue(
    view: JobView,
    task: TaskId,
    attempts: number,
    notBefore: number,
  ): void {
    this.setState(view, task, {kind: 'waiting', notBefore, attempts});
  }

  /** Ends a task and reports the end to the cell log. */
  end(
    view: JobView,
    task: TaskId,
    attempt: number,
    outcome: TaskOutcome,
  ): void {
    const end = {task, attempt, outcome};
    this.setState(view, task, {kind: 'ended', end});
    this.ends.push(end);
    this.note(task, `ended: ${outcome} after ${attempt} attempts`);
  }

  /** Releases the reservation of a placed task. */
  release(task: TaskId, state: PlacedTask): void {
    const worker = this.workers.getWorker(state.worker);
    if (!worker) return;
    this.workers.release(worker, attemptKeyOf(task, state.attempt), this.now);
    this.isDirty = true;
  }

  /** Retries or ends a task whose attempt failed or was lost. */
  retryOrEnd(
    view: JobView,
    task: TaskId,
    attempts: number,
    why: 'task_failed' | 'task_lost',
  ): void {
    const {repeat} = view.record.profile.stopping;
    const lastOutcome = why === 'task_failed' ? 'failed' : 'unknown';
    if (view.record.state === 'cancelling') {
      return this.end(
        view,
        task,
        attempts,
        why === 'task_failed' ? 'cancelled' : 'unknown',
      );
    }
    if (repeat.kind === 'at_most_once' || attempts >= repeat.maxAttempts) {
      return this.end(view, task, attempts, lastOutcome);
    }
    const backoffMs = repeat.backoffMs * 2 ** Math.min(attempts - 1, 10);
    this.effects.push({kind: 'retry', task, why});
    this.note(
      task,
      `attempt ${attempts} ${why === 'task_failed' ? 'failed' : 'was lost'}; the next waits ${backoffMs} ms`,
    );
    this.requeue(view, task, attempts, this.now + backoffMs);
  }

  /** @returns the job of a task, or undefined. */
  jobOf(task: TaskId): JobView | undefined {
    const view = this.jobs.getJob(jobOfTask(task));
    return view && hasTask(view.record, task) ? view : undefined;
  }

  /** Returns and clears the ends since the last call. */
  drainEnds(): TaskEnd[] {
    const {ends} = this;
    this.ends = [];
    return ends;
  }
}

/** Restores a context from its deserialized state. */
export const revivePlacementContext = reviverOf(PlacementContext.prototype, {
  workers: reviveWorkerTable,
  jobs: reviveJobTable,
  queue: reviveJobQueue,
  quotas: reviveTeamQuotas,
});
