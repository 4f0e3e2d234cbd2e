/** The bundle of the simulated cell. */
import type {Bundle} from '@primrosewick/state';

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
