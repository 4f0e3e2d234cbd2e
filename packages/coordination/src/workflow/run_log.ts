/** Logs the orders for each run, and counts them for its queue. */
import type Logger from 'bunyan';
import {taskKey, type TaskRef, type WorkerId} from '@primrosewick/state';
import type {OrderFailure} from './ports.js';
import type {QueueLoad} from './queue_load.js';
import type {StopRequest} from './stop_ledger.js';

/** A start that is sent to a worker. */
export interface OrderedRun {
  readonly task: TaskRef;
  readonly run: number;
  readonly worker: WorkerId;
  /** Log index of the state when the start is sent. */
  readonly index: number;
  /** Time since the workflow was accepted, in ms. */
  readonly waitMs: number;
  /** Free processor capacity of the worker, in thousandths of a core. */
  readonly free: number;
}

/** Logs and counts starts and stops. */
export class RunLog {
  constructor(
    private readonly logger: Logger,
    private readonly load: QueueLoad,
  ) {}

  /** Notes a recorded start that is sent. */
  started({task, ...facts}: OrderedRun): void {
    this.load.count(task.workflow, 'starts', 'ordered');
    this.logger.info(
      {decision: 'start', task: taskKey(task), ...facts},
      'sending the start of a task',
    );
  }

  /** Notes a start that failed, or whose outcome is unknown. */
  startFailed(task: TaskRef, worker: WorkerId, failure: OrderFailure): void {
    const name = failure.kind === 'refused' ? failure.why : failure.kind;
    this.load.count(task.workflow, 'startFailed', name);
    this.logger.info(
      {decision: 'start_failed', task: taskKey(task), worker, why: failure},
      'start of a task failed, or its outcome is unknown',
    );
  }

  /** Notes a stop that is sent. */
  stopped(worker: WorkerId, {task, run, why, inFavourOf}: StopRequest): void {
    this.load.count(task.workflow, 'stops', why);
    this.logger.info(
      {decision: 'stop', task: taskKey(task), run, worker, why, inFavourOf},
      'sending the stop of a run',
    );
  }
}
