/**
 * Placement of one zone in one epoch: decides which task runs on which worker,
 * which waits, and what follows when an attempt ends or is lost.
 */
import {reviverOf} from '../utils/image.js';
import type {JobRecord} from '../cell/types.js';
import type {Epoch, TaskId} from '../ids/types.js';
import {assertNever} from '../utils/assert_never.js';
import {PlacementContext, revivePlacementContext} from './context.js';
import type {JobView, PlacedTask} from './job_table.js';
import {ReportHandler, reviveReportHandler} from './reports.js';
import {Scheduler, reviveScheduler} from './scheduler.js';
import {
  DEFAULT_PLACEMENT_LIMITS,
  attemptKeyOf,
  type AttemptKey,
  type AttemptName,
  type PlacementEvent,
  type PlacementLimits,
  type PlacementStep,
  type WorkerReport,
} from './types.js';
import type {Worker} from './worker_table.js';

/** Options of the core. */
export interface PlacementOptions {
  readonly epoch: Epoch;
  /** Time at which this leader's epoch began, in ms. */
  readonly startedAt: number;
  readonly limits?: Partial<PlacementLimits>;
}

/** Placement of one zone in one epoch. */
export class PlacementCore {
  private readonly context: PlacementContext;
  private readonly scheduler: Scheduler;
  private readonly reports: ReportHandler;

  constructor(options: PlacementOptions) {
    this.context = new PlacementContext({
      epoch: options.epoch,
      startedAt: options.startedAt,
      limits: {...DEFAULT_PLACEMENT_LIMITS, ...options.limits},
    });
    this.scheduler = new Scheduler(this.context);
    this.reports = new ReportHandler(this.context);
  }

  /** Handles one event. */
  step(event: PlacementEvent): PlacementStep {
    const {context} = this;
    context.effects = [];
    context.notes = [];
    context.now = Math.max(context.now, event.now);
    this.handle(event);
    if (context.isDirty) this.scheduler.runPass();
    const ends = context.drainEnds();
    if (ends.length > 0) context.effects.push({kind: 'finish', ends});
    return {effects: context.effects, notes: context.notes};
  }

  /** The workers, for status. */
  listWorkers(): Worker[] {
    return this.context.workers.listWorkers();
  }

  /** Whether a worker may get new tasks at a time. */
  isSchedulable(worker: Worker, now: number): boolean {
    return this.context.workers.isSchedulable(worker, now);
  }

  private handle(event: PlacementEvent): void {
    switch (event.kind) {
      case 'job':
        return this.onJob(event.job, event.index);
      case 'quotas':
        this.context.quotas.setLimits(event.quotas);
        this.context.isDirty = true;
        return;
      case 'report':
        return this.onReport(event.report);
      case 'start_refused':
        return this.onStartRefused(event.key, event.isDefinite);
      case 'starts_recorded':
        this.onStartsRecorded(event.tasks);
        return this.onStartsTaken(event.taken);
      case 'barrier':
        this.context.barrier = event.index;
        this.context.isDirty = true;
        return;
      case 'tick':
        return this.onTick();
      default:
        return assertNever(event);
    }
  }

  private onJob(job: JobRecord, index: number): void {
    const {context} = this;
    this.reports.appliedIndex = Math.max(this.reports.appliedIndex, index);
    const known = context.jobs.getJob(job.id);
    if (job.state === 'done') return this.dropJob(job);
    const view = context.jobs.putJob(job, index, context.now);
    if (job.state === 'cancelling') return this.cancelJob(view);
    if (known) return;
    context.queue.add(view, context.now);
    context.isDirty = true;
  }

  private dropJob(job: JobRecord): void {
    this.context.queue.remove(job.id);
    this.context.jobs.removeJob(job.id);
  }

  private cancelJob(view: JobView): void {
    const {context} = this;
    for (const [task, state] of view.tasks) {
      if (state.kind === 'placed')
        context.setState(view, task, {...state, stop: 'cancel'});
    }
    context.queue.remove(view.record.id);
    this.endWaiting(view);
  }

  /** Ends the tasks of a cancelled job that no worker can be running. */
  private endWaiting(view: JobView): void {
    const {context} = this;
    if (context.isAwaitingLeaseExpiry(view)) return;
    const {taskCount} = view.record.spec;
    for (const task of context.jobs.listStartable(
      view,
      Number.POSITIVE_INFINITY,
      taskCount,
    )) {
      const state = context.jobs.getState(view, task);
      const attempts = state?.kind === 'waiting' ? state.attempts : 0;
      context.endCancelled(view, task, attempts);
    }
    context.queue.remove(view.record.id);
  }

  private onReport(report: WorkerReport): void {
    const answer = this.reports.handle(report);
    if (answer)
      this.context.effects.push({
        kind: 'answer',
        worker: report.worker,
        answer,
      });
  }

  private onStartRefused(key: AttemptKey, isDefinite: boolean): void {
    const [task, attempt] = key.split('#') as [TaskId, AttemptName];
    const {context} = this;
    const view = context.jobOf(task);
    const state = view && context.jobs.getState(view, task);
    if (
      !view ||
      state?.kind !== 'placed' ||
      state.attempt !== attempt ||
      state.isSeen
    )
      return;
    if (!isDefinite) return;
    context.release(task, state);
    context.note(task, `attempt ${attempt} was refused by ${state.worker}`);
    context.requeue(
      view,
      task,
      state.attempts - 1,
      context.now + context.limits.marginMs,
    );
  }

  private onStartsRecorded(tasks: readonly TaskId[]): void {
    const {context} = this;
    for (const task of tasks) {
      const view = context.jobOf(task);
      if (!view || context.jobs.getState(view, task)?.kind !== 'recording')
        continue;
      view.started.add(task);
      const {record} = view;
      if (record.state === 'cancelling') context.endCancelled(view, task, 0);
      else context.requeue(view, task, 0, context.now);
    }
  }

  /**
   * Ends as `unknown` the tasks whose start an earlier leader recorded and no
   * worker reported during the lease expiry wait.
   */
  private onStartsTaken(tasks: readonly TaskId[]): void {
    const {context} = this;
    for (const task of tasks) {
      const view = context.jobOf(task);
      const isOpen =
        view && context.jobs.getState(view, task)?.kind === 'recording';
      if (isOpen) context.end(view, task, 1, 'unknown');
    }
  }

  private onTick(): void {
    const {context} = this;
    context.workers.refresh(context.now);
    for (const worker of context.workers.listWorkers())
      this.checkWorker(worker);
    for (const view of context.jobs.listJobs()) this.checkJob(view);
    context.isDirty = context.isDirty || context.queue.size > 0;
  }

  private checkWorker(worker: Worker): void {
    const {context} = this;
    const isSilent =
      context.now >= worker.reportedAt + context.limits.announceMs;
    if (!isSilent) return;
    for (const key of [...worker.reserved.keys()])
      this.checkReserved(worker, key);
    if (worker.reserved.size === 0) context.workers.remove(worker);
  }

  private checkReserved(worker: Worker, key: AttemptKey): void {
    const {context} = this;
    const [task, attempt] = key.split('#') as [TaskId, AttemptName];
    const view = context.jobOf(task);
    const state = view && context.jobs.getState(view, task);
    const isOwn = state?.kind === 'placed' && state.attempt === attempt;
    const deadline = isOwn
      ? state.deadline
      : worker.reportedAt +
        context.limits.taskLeaseMs +
        context.limits.marginMs;
    if (context.now < deadline) return;
    context.workers.release(worker, key, context.now);
    if (view && isOwn) this.handleLostTask(view, task, state);
  }

  private handleLostTask(view: JobView, task: TaskId, state: PlacedTask): void {
    const {context} = this;
    context.note(
      task,
      `attempt ${state.attempt} is lost: ${state.worker} was not heard of until its lease had run out`,
    );
    context.retryOrEnd(view, task, state.attempts, 'task_lost');
  }

  private checkJob(view: JobView): void {
    const {context} = this;
    if (context.isAwaitingLeaseExpiry(view)) return;
    if (view.record.state === 'cancelling') return this.endWaiting(view);
    context.endUnreportedStarts(view);
  }
}

/** Builds the key of the attempt in a start order, for the reply to it. */
export const keyOfOrder = (order: {
  task: TaskId;
  attempt: AttemptName;
}): AttemptKey => attemptKeyOf(order.task, order.attempt);

/** Restores a core from its deserialized state. */
export const revivePlacementCore = reviverOf(PlacementCore.prototype, {
  context: revivePlacementContext,
  scheduler: reviveScheduler,
  reports: reviveReportHandler,
});
