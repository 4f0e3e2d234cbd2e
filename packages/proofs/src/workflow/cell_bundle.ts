/** The bundle of the simulated cell. */
import type {Bundle} from '@primrosewick/state';
import type {TestQueueName} from './workflow_world.js';

const queueOf = (name: TestQueueName, priority: number) => ({
  name,
  host: 'host',
  prefix: `/${name}/`,
  pool: 'pool',
  priority,
  maxAttempts: 3,
  stretch: 2,
  objectiveMs: 5000,
});

/** A pool that does not guard its admission, and three queues for it. */
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
