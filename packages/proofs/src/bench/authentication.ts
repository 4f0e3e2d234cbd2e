/** Benchmark of the authentication of one call: its digest, and the look-up of that. */
import {authenticate, digestKey} from '@primrosewick/state';
import {testKeyedCustomer, testQueue} from '@primrosewick/state/fixtures';
import {quantile, round, type Table} from './report.js';

/** Customers and keys of each: those of a large deployment, and the limits of a bundle. */
const SIZES = [
  [20, 2],
  [1000, 64],
] as const;
const ROUNDS = 200;
const CALLS_PER_ROUND = 500;
const MICROS_PER_MS = 1000;

const measure = (customerCount: number, keyCount: number): number[] => {
  const keysOf = (c: number): string[] =>
    Array.from({length: keyCount}, (_, k) => `key-${c}-${k}-0123456789abcdef`);
  const customers = Array.from({length: customerCount}, (_, c) =>
    testKeyedCustomer(`c${c}`, keysOf(c)),
  );
  const queue = testQueue({});
  const sent = Array.from({length: CALLS_PER_ROUND}, (_, i) =>
    Buffer.from(keysOf(i % customerCount)[i % keyCount] ?? ''),
  );
  const micros: number[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    const beganAt = performance.now();
    for (const key of sent) authenticate({customers}, queue, digestKey(key));
    const tookMs = performance.now() - beganAt;
    micros.push((MICROS_PER_MS * tookMs) / CALLS_PER_ROUND);
  }
  return micros;
};

/** Measures the time that authentication adds to a call. */
export const benchAuthentication = (): Table => ({
  heading: 'Authentication of a call',
  columns: ['customers', 'keys of each', 'median us', 'p99 of rounds us'],
  rows: SIZES.map(([customers, keys]) => {
    const micros = measure(customers, keys);
    return [
      customers,
      keys,
      round(quantile(micros, 0.5), 2),
      round(quantile(micros, 0.99), 2),
    ];
  }),
});
