import {reviverOf} from '../utils/image.js';
import {jobOfTask} from '../cell/jobs.js';
import type {TaskId} from '../ids/types.js';
import type {PlacementContext} from './context.js';
import type {JobView, PlacedTask, TaskState} from './job_table.js';
import {
  attemptKeyOf,
  type AttemptKey,
  type AttemptName,
  type TaskView,
  type WorkerAnswer,
  type WorkerReport,
} from './types.js';
import type {Worker} from './worker_table.js';

/**
 * Number of workers on which a job may fail before the failures are attributed
 * to the job.
 */
const MAX_FAILED_WORKERS_PER_JOB = 1;

interface AnswerDraft {
  readonly renewed: AttemptKey[];
  readonly stop: AttemptKey[];
  readonly acknowledged: AttemptKey[];
}

/** Applies the announcements of workers and answers them. */
export class ReportHandler {
  private draft: AnswerDraft = {renewed: [], stop: [], acknowledged: []};
  /** Log index up to which accepted jobs are known. */
  appliedIndex = 0;

  constructor(private readonly context: PlacementContext) {}

  /**
   * Handles one announcement.
   * @returns the answer, or undefined if a later announcement was handled before.
   */
  handle(report: WorkerReport): WorkerAnswer | undefined {
    const {context} = this;
    const worker = context.workers.addReport(report, context.now);
    if (!worker) return undefined;
    this.draft = {renewed: [], stop: [], acknowledged: []};
    const listed = new Set<AttemptKey>();
    for (const view of report.tasks) {
      listed.add(attemptKeyOf(view.task, view.attempt));
      if (view.state === 'ended') this.onEnded(worker, view);
      else this.onRunning(worker, view);
    }
    this.dropUnlisted(worker, listed);
    context.isDirty = true;
    return this.draft;
  }

  private onRunning(worker: Worker, view: TaskView): void {
    const {context} = this;
    const key = attemptKeyOf(view.task, view.attempt);
    if (!worker.reserved.has(key))
      context.workers.reserve(worker, key, view.size, context.now);
    context.workers.raiseReservation(worker, key, usedBy(view), context.now);
    const job = context.jobOf(view.task);
    if (!job) return this.onRunningOfUnknownJob(view.task, key);
    const state = context.jobs.getState(job, view.task);
    if (!this.isAdoptable(state, view.attempt))
      return void this.draft.stop.push(key);
    const placed = this.adopt(job, worker, view, state);
    this.draft.renewed.push(key);
    if (placed.stop !== 'none') this.draft.stop.push(key);
  }

  /**
   * Renews an attempt of a job that may be accepted but not applied here yet;
   * stops one of an ended job.
   */
  private onRunningOfUnknownJob(task: TaskId, key: AttemptKey): void {
    if (this.isOfEndedJob(task)) this.draft.stop.push(key);
    else this.draft.renewed.push(key);
  }

  private isOfEndedJob(task: TaskId): boolean {
    const index = Number(jobOfTask(task).replace('job-', ''));
    return index <= this.appliedIndex;
  }

  private isAdoptable(
    state: TaskState | undefined,
    attempt: AttemptName,
  ): boolean {
    if (!state || state.kind === 'waiting' || state.kind === 'recording')
      return true;
    return state.kind === 'placed' && state.attempt === attempt;
  }

  private adopt(
    job: JobView,
    worker: Worker,
    view: TaskView,
    state: TaskState | undefined,
  ): PlacedTask {
    const {context} = this;
    const before = state?.kind === 'placed' ? state : undefined;
    const isCancelled = job.record.state === 'cancelling';
    job.ran.add(view.task);
    const placed: PlacedTask = {
      kind: 'placed',
      attempts: before?.attempts ?? 1,
      attempt: view.attempt,
      worker: worker.id,
      size: view.size,
      leaseSeq: before?.leaseSeq ?? worker.report.seq,
      deadline: context.leaseDeadline,
      isSeen: true,
      stop: isCancelled ? 'cancel' : (before?.stop ?? 'none'),
    };
    context.setState(job, view.task, placed);
    if (!before)
      context.note(
        view.task,
        `attempt ${view.attempt} is taken over: ${worker.id} reports it running`,
      );
    return placed;
  }

  private onEnded(worker: Worker, view: TaskView): void {
    const {context} = this;
    const key = attemptKeyOf(view.task, view.attempt);
    context.workers.release(worker, key, context.now);
    const job = context.jobOf(view.task);
    if (!job) {
      if (this.isOfEndedJob(view.task)) this.draft.acknowledged.push(key);
      return;
    }
    const state = context.jobs.getState(job, view.task);
    if (this.isAdoptable(state, view.attempt))
      this.settle(job, worker, view, state);
    if (this.isSettled(job, view)) this.draft.acknowledged.push(key);
  }

  /**
   * Whether an end needs no further report: it is recorded, or another attempt
   * follows.
   */
  private isSettled(job: JobView, {task, attempt}: TaskView): boolean {
    const state = this.context.jobs.getState(job, task);
    if (state?.kind === 'ended')
      return job.record.ended.some(end => end.task === task);
    return state?.kind !== 'placed' || state.attempt !== attempt;
  }

  private settle(
    job: JobView,
    worker: Worker,
    view: TaskView,
    state: TaskState | undefined,
  ): void {
    const {context} = this;
    const attempts = attemptsOf(state);
    job.ran.add(view.task);
    const stop = state?.kind === 'placed' ? state.stop : 'none';
    switch (view.outcome) {
      case 'succeeded':
        context.workers.addSuccess(worker, context.now);
        return context.end(job, view.task, attempts, 'succeeded');
      case 'cancelled':
      case 'not_run':
        return this.settleStopped(job, view.task, attempts, stop);
      case 'failed':
        this.noteFailure(job, worker);
        return context.retryOrEnd(job, view.task, attempts, 'task_failed');
      case 'unknown':
      case undefined:
        return context.retryOrEnd(job, view.task, attempts, 'task_lost');
    }
  }

  /**
   * Ends a stopped task if its job is cancelled or it may not run again;
   * otherwise requeues it.
   */
  private settleStopped(
    job: JobView,
    task: TaskId,
    attempts: number,
    stop: PlacedTask['stop'],
  ): void {
    const {context} = this;
    if (stop === 'cancel' || job.record.state === 'cancelling')
      return context.end(job, task, attempts, 'cancelled');
    const canRepeat =
      job.record.profile.stopping.repeat.kind === 'again' ||
      job.record.profile.stopping.checkpoint;
    if (!canRepeat) return context.end(job, task, attempts, 'cancelled');
    context.note(task, 'stopped with its progress saved; waits again');
    context.requeue(job, task, attempts - 1, context.now);
  }

  /**
   * Counts a failure against the worker, unless the job also failed on other
   * workers.
   */
  private noteFailure(job: JobView, worker: Worker): void {
    const {context} = this;
    const {id} = job.record;
    job.failedOn.add(worker.id);
    if (job.failedOn.size > MAX_FAILED_WORKERS_PER_JOB)
      return context.workers.dropEvidence(id, context.now);
    const until = context.workers.addFailure(worker, id, context.now);
    if (until === undefined) return;
    context.effects.push({kind: 'set_aside', worker: worker.id, until});
    context.note(
      worker.id,
      `is set aside for ${Math.round(until - context.now)} ms: it failed tasks of different jobs without a success`,
    );
  }

  /** Releases the reservations of attempts that the worker no longer lists. */
  private dropUnlisted(worker: Worker, listed: ReadonlySet<AttemptKey>): void {
    const {context} = this;
    for (const key of [...worker.reserved.keys()]) {
      if (listed.has(key)) continue;
      const [task, attempt] = key.split('#') as [TaskId, AttemptName];
      const job = context.jobOf(task);
      const state = job && context.jobs.getState(job, task);
      const isPlaced = state?.kind === 'placed' && state.attempt === attempt;
      if (job && isPlaced && !this.dropPlaced(job, worker, task, state))
        continue;
      context.workers.release(worker, key, context.now);
    }
  }

  /**
   * Handles an attempt that the worker does not list.
   * @returns whether it is over.
   */
  private dropPlaced(
    job: JobView,
    worker: Worker,
    task: TaskId,
    state: PlacedTask,
  ): boolean {
    const {context} = this;
    if (state.isSeen) {
      context.retryOrEnd(job, task, state.attempts, 'task_lost');
      return true;
    }
    if (worker.report.fence <= state.leaseSeq) return false;
    context.note(task, `attempt ${state.attempt} never reached ${worker.id}`);
    context.requeue(job, task, state.attempts - 1, context.now);
    return true;
  }
}

const attemptsOf = (state: TaskState | undefined): number => {
  if (!state || state.kind === 'ended') return 1;
  return Math.max(1, state.attempts);
};

const usedBy = (view: TaskView) => ({
  cpuMillis: view.usedCpuMillis,
  memoryMb: view.usedMemoryMb,
  accelerators: 0,
});

/** Restores a handler from its deserialized state. */
export const reviveReportHandler = reviverOf(ReportHandler.prototype);
