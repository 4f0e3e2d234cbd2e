/** The bundle of the simulated cell. */
import {
  findExceededCap,
  type Bundle,
  type Customer,
  type WorkflowSpec,
} from '@primrosewick/state';

/** Queues of the cell; tasks of the first preempt those of the second. */
export type TestQueueName = 'urgent' | 'patient' | 'advised';

/** Number of ends as failed after which a workflow fails. */
export const MAX_ATTEMPTS = 3;

const queueOf = (name: TestQueueName, priority: number) => ({
  name,
  host: 'host',
  prefix: `/${name}/`,
  pool: 'pool',
  priority,
  maxAttempts: MAX_ATTEMPTS,
  stretch: 2,
  objectiveMs: 5000,
});

/** Cap of the capped customer: one task of the widest kind, or a few small ones. */
export const CUSTOMER_CAP = {cpuMillis: 6000, memMb: 0, gpus: 0};

/** Customers of the worlds that have them; the first has a cap. */
export const CUSTOMERS = [
  {name: 'capped', keyDigests: [], priority: 1, weight: 1, cap: CUSTOMER_CAP},
  {
    name: 'free',
    keyDigests: [],
    priority: 1,
    weight: 2,
    cap: {cpuMillis: 0, memMb: 0, gpus: 0},
  },
] as never as readonly Customer[];

/** The bundle in force: one pool, and a queue of each kind. */
export const BUNDLE = {
  version: 1,
  queues: [
    queueOf('urgent', 1),
    queueOf('patient', 2),
    {
      ...queueOf('advised', 2),
      advice: {baseMs: 50, perWorkerMs: 5, validMs: 1500},
    },
  ],
  pools: [
    {
      name: 'pool',
      maxConnections: 8,
      guardsAdmission: false,
      isStandby: false,
      healthPath: '/health',
    },
  ],
  limits: {
    headerBytes: 1,
    bodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
  source: '{}',
} as never as Bundle;

/**
 * The customer of a workflow: in turn one with a cap, one without, and none. Work
 * that the cap can never hold would be refused, so it goes to the other customer.
 */
export const customerFor = (
  number: number,
  spec: WorkflowSpec,
): Customer | undefined => {
  const [capped, free] = CUSTOMERS as readonly [Customer, Customer];
  if (number % 3 === 2) return undefined;
  const isRefused = findExceededCap(spec, capped) !== undefined;
  return number % 3 === 0 && !isRefused ? capped : free;
};
