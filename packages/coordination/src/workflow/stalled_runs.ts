/** Finds stalled runs. */
import {
  isStalled,
  type PlannedStop,
  type WorkerId,
  type WorkflowDb,
} from '@primrosewick/state';
import type {WorkerChannel} from './worker_channel.js';

/** @returns stops for runs without progress for too long, at a monotonic time in ms. */
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
      // All members of a gang stall as soon as one of them does.
      if (!spec || spec.isLongRunning || spec.isGang) continue;
      if (!isStalled(progress, spec.estimateMs, now)) continue;
      found.push({task, run, worker, bornAt, why: 'stalled'});
    }
  }
  return found;
};
