/** Bundles for specs. */
import type {CustomerName, KeyDigest} from '../ids/types.js';
import {digestKey} from './authentication.js';
import type {Bundle, Customer, Queue} from './types.js';

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

/** Digest of a key that is a text. */
export const testDigest = (key: string): KeyDigest =>
  digestKey(Buffer.from(key));

/** A customer with the given keys and no limits. */
export const testKeyedCustomer = (
  name: string,
  keys: readonly string[],
  part: Partial<Customer> = {},
): Customer => ({
  name: name as CustomerName,
  keyDigests: keys.map(testDigest),
  priority: 0,
  weight: 0,
  cap: {cpuMillis: 0, memMb: 0, gpus: 0},
  ...part,
});
