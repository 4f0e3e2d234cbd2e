import {makeTaskId, type JobRecord, type TaskId} from '@primrosewick/state';

/** One run of a task, in virtual time. */
export interface TaskRun {
  readonly task: string;
  readonly startedAt: number;
  readonly endedAt: number;
  /** Address of the worker on which it ran. */
  readonly address: string;
}

/**
 * Checks the recorded end of every job against the runs of its tasks.
 * @throws Error at the first contradiction.
 */
export const checkJobs = (
  jobs: readonly JobRecord[],
  runs: readonly TaskRun[],
): void => {
  for (const job of jobs) {
    if (job.state !== 'done')
      throw new Error(
        `${job.id} has not ended: ${job.ended.length} of ${job.spec.taskCount} tasks have ended`,
      );
    for (let at = 0; at < job.spec.taskCount; at++) {
      const task = makeTaskId(job.id, at);
      checkTask(
        job,
        task,
        runs.filter(run => run.task === task),
      );
    }
  }
};

const checkTask = (
  job: JobRecord,
  task: TaskId,
  runs: readonly TaskRun[],
): void => {
  checkNoOverlap(task, runs);
  const outcome = job.ended.find(end => end.task === task)?.outcome;
  const isOnce = job.profile.stopping.repeat.kind === 'at_most_once';
  if (isOnce && runs.length > 1)
    throw new Error(`${task} ran ${runs.length} times`);
  if (outcome === 'not_run' && runs.length > 0)
    throw new Error(`${task} was reported as never run, but ran`);
  if (outcome === 'succeeded' && runs.length === 0)
    throw new Error(`${task} succeeded without a run`);
};

/** Checks that no two runs of a task overlap. */
const checkNoOverlap = (task: TaskId, runs: readonly TaskRun[]): void => {
  const ordered = [...runs].sort((a, b) => a.startedAt - b.startedAt);
  for (const [i, run] of ordered.entries()) {
    const before = ordered[i - 1];
    if (before && run.startedAt < before.endedAt)
      throw new Error(
        `${task} ran on ${before.address} and ${run.address} at the same time`,
      );
  }
};
