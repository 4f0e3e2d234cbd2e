/** Finds stalled runs. */
import {
  expectedMsOf,
  isStalled,
  usedSpeedOf,
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
    const report = db.workers.get(worker)?.report;
    const bornAt = report?.bornAt ?? 0;
    const speed = report ? usedSpeedOf(db, report) : 1;
    for (const progress of channel.progress.values()) {
      const {task, run} = progress;
      const workflow = db.workflows.get(task.workflow);
      const spec = workflow?.spec.steps[task.step];
      // All members of a gang stall as soon as one of them does.
      if (!workflow || !spec || spec.isLongRunning || spec.isGang) continue;
      const {occurrence, step} = task;
      const expectedMs = expectedMsOf(db, workflow, occurrence, step) / speed;
      if (!isStalled(progress, expectedMs, now)) continue;
      found.push({task, run, worker, bornAt, why: 'stalled'});
    }
  }
  return found;
};
