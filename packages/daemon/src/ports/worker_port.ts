/** HTTP client for orders to workers. */
import type {StartResult, WorkerPort} from '@primrosewick/coordination';
import type {StartOrder} from '@primrosewick/protocol';
import {toCellError, type Epoch, type StartTask} from '@primrosewick/state';
import {callJson} from '@primrosewick/transport';

const START_TIMEOUT_MS = 2000;

/** Sends orders to workers over HTTP. */
export const httpWorkerPort: WorkerPort = {
  async start(
    order: StartTask,
    epoch: Epoch,
    leaseMs: number,
  ): Promise<StartResult> {
    const {worker, task, attempt, command, size, leaseSeq, runMs, graceMs} =
      order;
    const body: StartOrder = {
      epoch,
      worker,
      task,
      attempt,
      command,
      size,
      leaseSeq,
      leaseMs,
      runMs,
      graceMs,
    };
    try {
      await callJson({
        address: order.address,
        method: 'POST',
        path: '/v1/tasks',
        body,
        timeoutMs: START_TIMEOUT_MS,
      });
      return 'accepted';
    } catch (err) {
      const error = toCellError(err, 'start-task', order.worker);
      return error.outcome === 'not_run' ? 'refused' : 'unknown';
    }
  },
};
