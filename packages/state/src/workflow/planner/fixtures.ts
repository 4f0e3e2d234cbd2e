/** Test inputs of the planner. */
import {testQueue} from '../../bundle/fixtures.js';
import type {AdviceTiming} from '../../bundle/types.js';
import {TestLog, testSpec, testTask} from '../fixtures.js';
import {NO_RESOURCES, subtractResources} from '../resources.js';
import type {Resources, StepSpec, TaskKey} from '../types.js';
import type {PlanInput, WorkerView} from './types.js';

/** Resources of a worker less those of the runs recorded on it. */
export const freeOf = ({db}: TestLog, worker: string): Resources => {
  const {report, active} = db.workers.get(worker as never)!;
  return [...active.values()].reduce(
    (free, {task}) =>
      subtractResources(
        free,
        db.workflows.get(task.workflow)!.spec.steps[task.step]!.room,
      ),
    report.room,
  );
};

/** Views of all workers in the log's database. */
export const viewsOf = (log: TestLog): Map<never, WorkerView> => {
  const {db} = log;
  const views = new Map<never, WorkerView>();
  for (const [worker, {report}] of db.workers)
    views.set(worker as never, {
      worker,
      bornAt: report.bornAt,
      pool: report.pool,
      room: report.room,
      labels: new Set(report.labels),
      ...(report.rack === undefined ? {} : {rack: report.rack}),
      free: freeOf(log, worker),
      unreserved: report.room,
      kept: NO_RESOURCES,
      keptPriority: Number.POSITIVE_INFINITY,
      isUsable: !report.isDraining,
    });
  return views;
};

/** Inputs of a pass, with defaults for the fields that a test does not set. */
export const inputOf = (
  log: TestLog,
  part: Partial<PlanInput> = {},
): PlanInput => ({
  db: log.db,
  now: 0,
  wall: 5000,
  workers: viewsOf(log),
  pending: new Map(),
  stopping: new Set(),
  remainingMs: () => undefined,
  endsSoon: () => new Set(),
  reserved: new Map(),
  preemptedAt: new Map(),
  adviceOf: () => undefined,
  callerCount: 12,
  ...part,
});

/** Pending starts on one worker. */
export const pendingOn = (worker: string, keys: TaskKey[]) =>
  new Map(keys.map(key => [key, worker as never]));

/**
 * A time soon after workflows were accepted, so that they can still be in time.
 */
export const EARLY = {wall: 1200};

/**
 * A worker that runs a step of low priority, and an empty queue of higher
 * priority.
 */
export const busyLog = (small: StepSpec, advice?: AdviceTiming): TestLog => {
  const log = new TestLog({
    queues: [
      testQueue({
        name: 'wide',
        prefix: '/wide/',
        priority: 1,
        ...(advice ? {advice} : {}),
      }),
      testQueue({name: 'small', prefix: '/small/', priority: 2}),
    ],
  });
  log.addWorker('w1');
  log.submit('small', testSpec([small]), 'small');
  for (let i = 0; i < small.taskCount; i++)
    log.start('w1', testTask('small', 0, i));
  return log;
};
