import {CellError} from '../errors/cell_error.js';
import {asId, type Epoch, type JobId, type TaskId} from '../ids/types.js';
import type {CellLimits, JobRecord, TaskEnd} from './types.js';

/** Builds the id of a task from its job and its position in the job. */
export const makeTaskId = (job: JobId, position: number): TaskId =>
  asId<TaskId>(`${job}.${position}`);

/** Job of a task. */
export const jobOfTask = (task: TaskId): JobId =>
  asId<JobId>(task.slice(0, task.lastIndexOf('.')));

/** Position of a task within its job. */
export const positionOfTask = (task: TaskId): number =>
  Number(task.slice(task.lastIndexOf('.') + 1));

/** Whether a job has a task; workers could name any. */
export const hasTask = (
  {id, spec}: Pick<JobRecord, 'id' | 'spec'>,
  task: TaskId,
): boolean => {
  const position = positionOfTask(task);
  const isInRange = position >= 0 && position < spec.taskCount;
  return isInRange && makeTaskId(id, position) === task;
};

/**
 * Accepted jobs; beyond `maxEndedJobs` the ended jobs that ended first are
 * dropped.
 */
export class JobTable {
  private readonly jobs = new Map<JobId, JobRecord>();
  private readonly ended: JobId[] = [];

  constructor(private readonly limits: CellLimits) {}

  /** Number of jobs that have not ended. */
  get openCount(): number {
    return this.jobs.size - this.ended.length;
  }

  /** @returns the job, or undefined. */
  getJob(job: JobId): JobRecord | undefined {
    return this.jobs.get(job);
  }

  /** All jobs kept, in order of acceptance. */
  listJobs(): JobRecord[] {
    return [...this.jobs.values()];
  }

  /**
   * Adds an accepted job.
   * @throws CellError `too_many_jobs`.
   */
  addJob(job: JobRecord): void {
    if (this.openCount >= this.limits.maxOpenJobs) {
      throw new CellError({code: 'too_many_jobs', step: 'add-job'});
    }
    this.jobs.set(job.id, job);
  }

  /**
   * Marks a job as cancelled; a job that has ended stays as it is.
   * @throws CellError `unknown_job`.
   */
  cancelJob(id: JobId): void {
    const job = this.jobs.get(id);
    if (!job) throw new CellError({code: 'unknown_job', step: 'cancel-job'});
    if (job.state !== 'open') return;
    this.jobs.set(id, {...job, state: 'cancelling'});
  }

  /**
   * Records that tasks are about to start in an epoch; a task keeps its first
   * record.
   * @returns the tasks that are recorded for this epoch.
   */
  addStarts(tasks: readonly TaskId[], epoch: Epoch): TaskId[] {
    return [...groupByJob(tasks, task => task)].flatMap(([id, own]) =>
      this.addStartsOf(id, own, epoch),
    );
  }

  private addStartsOf(
    id: JobId,
    tasks: readonly TaskId[],
    epoch: Epoch,
  ): TaskId[] {
    const job = this.jobs.get(id);
    if (!job) return [];
    const epochOf = new Map(
      job.started.map(start => [start.task, start.epoch]),
    );
    const ofJob = tasks.filter(task => hasTask(job, task));
    const added = ofJob
      .filter(task => !epochOf.has(task))
      .map(task => ({task, epoch}));
    this.jobs.set(id, {...job, started: [...job.started, ...added]});
    return ofJob.filter(task => (epochOf.get(task) ?? epoch) === epoch);
  }

  /**
   * Records the ends of the tasks that their jobs have; a task keeps its first
   * recorded end.
   */
  addEnds(ends: readonly TaskEnd[]): void {
    for (const [id, own] of groupByJob(ends, end => end.task)) {
      const job = this.jobs.get(id);
      if (job) this.addEndsOf(job, own);
    }
  }

  private addEndsOf(job: JobRecord, ends: readonly TaskEnd[]): void {
    const ofJob = ends.filter(({task}) => hasTask(job, task));
    const byTask = new Map(ofJob.map(end => [end.task, end]));
    for (const known of job.ended) byTask.delete(known.task);
    if (byTask.size === 0) return;
    const ended = [...job.ended, ...byTask.values()];
    const isDone = ended.length === job.spec.taskCount;
    this.jobs.set(job.id, {...job, ended, state: isDone ? 'done' : job.state});
    if (isDone) this.addEndedJob(job.id);
  }

  /** Replaces the table by the jobs of an image. */
  restore(jobs: readonly JobRecord[]): void {
    this.jobs.clear();
    this.ended.length = 0;
    for (const job of jobs) this.jobs.set(job.id, job);
    for (const job of jobs) if (job.state === 'done') this.ended.push(job.id);
  }

  private addEndedJob(id: JobId): void {
    this.ended.push(id);
    while (this.ended.length > this.limits.maxEndedJobs) {
      const oldest = this.ended.shift();
      if (oldest) this.jobs.delete(oldest);
    }
  }
}

const groupByJob = <T>(
  items: readonly T[],
  taskOf: (item: T) => TaskId,
): Map<JobId, T[]> => {
  const groups = new Map<JobId, T[]>();
  for (const item of items) {
    const job = jobOfTask(taskOf(item));
    const group = groups.get(job);
    if (group) group.push(item);
    else groups.set(job, [item]);
  }
  return groups;
};
