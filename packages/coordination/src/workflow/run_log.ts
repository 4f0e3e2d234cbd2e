/** Tells what is ordered about each run, and counts it for its queue. */
import type Logger from 'bunyan';
import {taskKey, type TaskRef, type WorkerId} from '@primrosewick/state';
import type {OrderFailure} from './ports.js';
import type {QueueLoad} from './queue_load.js';
import type {StopRequest} from './stop_ledger.js';

/** A start that is ordered. */
export interface OrderedRun {
  readonly task: TaskRef;
  readonly run: number;
  readonly worker: WorkerId;
  /** Version of the state that decided. */
  readonly index: number;
  /** Time since the workflow was accepted, in ms. */
  readonly waitMs: number;
  /** Thousandths of a core that are free on the worker. */
  readonly free: number;
}

/** Lines and counts of starts and stops. */
export class RunLog {
  constructor(
    private readonly logger: Logger,
    private readonly load: QueueLoad,
  ) {}

  /** A recorded start is ordered. */
  started({task, ...facts}: OrderedRun): void {
    this.load.count(task.workflow, 'starts', 'ordered');
    this.logger.info(
      {decision: 'start', task: taskKey(task), ...facts},
      'a task is started',
    );
  }

  /** A start did not take place, or nobody knows. */
  startFailed(task: TaskRef, worker: WorkerId, why: OrderFailure): void {
    const name = why.kind === 'refused' ? why.why : why.kind;
    this.load.count(task.workflow, 'startFailed', name);
    this.logger.info(
      {decision: 'start_failed', task: taskKey(task), worker, why},
      'a start did not take place, or its outcome is unknown',
    );
  }

  /** A stop is ordered. */
  stopped(worker: WorkerId, {task, run, why, inFavourOf}: StopRequest): void {
    this.load.count(task.workflow, 'stops', why);
    this.logger.info(
      {decision: 'stop', task: taskKey(task), run, worker, why, inFavourOf},
      'a run is told to stop',
    );
  }
}
