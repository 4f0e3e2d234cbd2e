/** Measures the wait times of steps, by queue and reason. */
import type {EndedWait} from '@primrosewick/coordination';
import {Histogram, type Registry} from 'prom-client';

const WAIT_BUCKETS_MS = [50, 100, 200, 500, 1000, 2000, 5000, 10_000, 30_000];

/** @returns a function that observes each ended wait. */
export const makeQueueWaitObserver = (
  registry: Registry,
): ((wait: EndedWait) => void) => {
  const waits = new Histogram({
    name: 'primrosewick_queue_wait_ms',
    help: 'Time for which a step waited for one reason without a break, by queue, in ms.',
    labelNames: ['queue', 'reason'],
    buckets: WAIT_BUCKETS_MS,
    registers: [registry],
  });
  return ({queue, reason, waitMs}) => waits.observe({queue, reason}, waitMs);
};
