/** Bundles for specs. */
import type {Bundle, Queue} from './types.js';

/** Name of the pool in `testBundle`. */
export const TEST_POOL = 'pool';

/** A queue with defaults for properties that a spec does not set. */
export const testQueue = (
  part: Partial<Record<'name' | 'host' | 'prefix' | 'pool', string>> &
    Partial<Omit<Queue, 'name' | 'host' | 'prefix' | 'pool'>>,
): Queue =>
  ({
    name: 'queue',
    host: 'host',
    prefix: '/queue/',
    pool: TEST_POOL,
    priority: 1,
    maxAttempts: 2,
    stretch: 2,
    objectiveMs: 500,
    ...part,
  }) as Queue;

/** A bundle of version 1 with one pool. */
export const testBundle = (part: Partial<Bundle>): Bundle =>
  ({
    version: 1,
    queues: [testQueue({})],
    pools: [
      {
        name: TEST_POOL,
        maxConnections: 8,
        guardsAdmission: false,
        isStandby: false,
        healthPath: '/health',
      },
    ],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 262_144,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    source: '{}',
    ...part,
  }) as Bundle;
