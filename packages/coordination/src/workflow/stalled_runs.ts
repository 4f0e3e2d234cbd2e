/** Finds the runs that stand still. */
import {
  isStalled,
  type PlannedStop,
  type WorkerId,
  type WorkflowDb,
} from '@primrosewick/state';
import type {WorkerChannel} from './worker_channel.js';

/** @returns the runs that have not gone on for too long at a monotonic time in ms. */
export const findStalled = (
  db: WorkflowDb,
  channels: ReadonlyMap<WorkerId, WorkerChannel>,
  now: number,
): PlannedStop[] => {
  const found: PlannedStop[] = [];
  for (const [worker, channel] of channels) {
    if (!channel.isUsable) continue;
    const {bornAt} = db.workers.get(worker)?.report ?? {bornAt: 0};
    for (const progress of channel.progress.values()) {
      const {task, run} = progress;
      const spec = db.workflows.get(task.workflow)?.spec.steps[task.step];
      // A gang stands still while one of its members does.
      if (!spec || spec.isLongRunning || spec.isGang) continue;
      if (!isStalled(progress, spec.estimateMs, now)) continue;
      found.push({task, run, worker, bornAt, why: 'stalled'});
    }
  }
  return found;
};
