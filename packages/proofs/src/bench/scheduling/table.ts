/** Compares scheduling policies on virtual time. */
import {quantile, round, type Table} from '../report.js';
import {BenchCluster} from './cluster.js';
import {LOAD_PATTERNS, type LoadPattern} from './load.js';
import {POLICIES} from './policies.js';
import type {ClusterResult} from './types.js';
import {shareOf, totalOf, worthByKind} from './worth.js';

const RUNS_PER_POLICY = 2;

export const makeRow = (
  pattern: LoadPattern,
  name: string,
  results: readonly ClusterResult[],
): string[] => {
  const outcomes = results.flatMap(result => result.outcomes);
  const byKind = worthByKind(outcomes);
  const total = totalOf(byKind.values());
  const waits = outcomes.map(({waitMs}) => waitMs ?? Infinity);
  const mean = (read: (result: ClusterResult) => number): number =>
    results.reduce((sum, result) => sum + read(result), 0) / results.length;
  return [
    pattern.name,
    name,
    shareOf(total).toFixed(3),
    ...pattern.kinds.map(kind => shareOf(byKind.get(kind.name)!).toFixed(3)),
    String(round(quantile(waits, 0.5))),
    String(round(quantile(waits, 0.99))),
    mean(({usedShare}) => usedShare).toFixed(2),
    `${(100 * mean(({lostShare}) => lostShare)).toFixed(1)} %`,
    String(Math.round(mean(({stops}) => stops.stops))),
  ];
};

/** Simulates each load pattern under each policy. */
export const benchScheduling = (seed: number): Table => ({
  heading: 'Workflows: worth in time, by policy, on virtual time',
  columns: [
    'load',
    'policy',
    'worth',
    ...LOAD_PATTERNS[0]!.kinds.map(({name}) => name),
    'wait p50 ms',
    'wait p99 ms',
    'used',
    'lost',
    'stops',
  ],
  rows: LOAD_PATTERNS.flatMap(pattern =>
    [...POLICIES].map(([name, policy]) =>
      makeRow(
        pattern,
        name,
        Array.from({length: RUNS_PER_POLICY}, (_, i) =>
          new BenchCluster(pattern, policy, seed + 10 * i).run(),
        ),
      ),
    ),
  ),
});
