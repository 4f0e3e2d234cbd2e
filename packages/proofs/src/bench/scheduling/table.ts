/** Compares scheduling policies on virtual time. */
import {quantile, round, type Table} from '../report.js';
import {
  BenchCluster,
  type ClusterResult,
  type WorkflowOutcome,
} from './cluster.js';
import {LOAD_PATTERNS, type Arrival, type LoadPattern} from './load.js';
import {POLICIES} from './policies.js';

/** Upper limit of the factor by which a workflow's size scales its worth. */
const MAX_SIZE_FACTOR = 4;
/** Fraction of the worth that does not depend on the size. */
const FIXED_SHARE = 0.3;
/** Fraction of the worth that a late workflow still earns. */
const LATE_SHARE = 0.2;
/** Multiple of the objective up to which a late workflow still earns worth. */
const LATE_LIMIT_FACTOR = 3;
const RUNS_PER_POLICY = 2;

const cpuWorkOf = ({spec, durations}: Arrival): number =>
  durations.reduce(
    (sum, step, i) =>
      sum + step.reduce((s, ms) => s + ms * spec.steps[i]!.room.cpuMillis, 0),
    0,
  );

const objectiveOf = ({kind, durations}: Arrival): number =>
  kind.objectiveMs +
  kind.stretch * durations.reduce((sum, step) => sum + Math.max(...step), 0);

/** Sums the possible and the earned worth by kind of workflow. */
const worthByKind = (
  outcomes: readonly WorkflowOutcome[],
): Map<string, {owed: number; earned: number}> => {
  const meanByKind = new Map<string, number>();
  for (const {kind} of outcomes.map(({arrival}) => arrival)) {
    const sameKind = outcomes.filter(({arrival}) => arrival.kind === kind);
    if (meanByKind.has(kind.name)) continue;
    const sum = sameKind.reduce((s, {arrival}) => s + cpuWorkOf(arrival), 0);
    meanByKind.set(kind.name, sum / sameKind.length);
  }
  const byKind = new Map<string, {owed: number; earned: number}>();
  for (const {arrival, doneMs} of outcomes) {
    const {kind} = arrival;
    const size = cpuWorkOf(arrival) / meanByKind.get(kind.name)!;
    const worth =
      kind.worth *
      Math.min(MAX_SIZE_FACTOR, FIXED_SHARE + (1 - FIXED_SHARE) * size);
    const entry = byKind.get(kind.name) ?? {owed: 0, earned: 0};
    byKind.set(kind.name, entry);
    entry.owed += worth;
    const objective = objectiveOf(arrival);
    if (doneMs === undefined || doneMs > LATE_LIMIT_FACTOR * objective)
      continue;
    entry.earned += doneMs <= objective ? worth : LATE_SHARE * worth;
  }
  return byKind;
};

const formatShare = ({owed, earned}: {owed: number; earned: number}): string =>
  (earned / Math.max(1e-9, owed)).toFixed(3);

export const makeRow = (
  pattern: LoadPattern,
  name: string,
  results: readonly ClusterResult[],
): string[] => {
  const outcomes = results.flatMap(result => result.outcomes);
  const byKind = worthByKind(outcomes);
  const total = [...byKind.values()].reduce(
    (sum, {owed, earned}) => ({
      owed: sum.owed + owed,
      earned: sum.earned + earned,
    }),
    {owed: 0, earned: 0},
  );
  const waits = outcomes.map(({waitMs}) => waitMs ?? Infinity);
  const mean = (read: (result: ClusterResult) => number): number =>
    results.reduce((sum, result) => sum + read(result), 0) / results.length;
  return [
    pattern.name,
    name,
    formatShare(total),
    ...pattern.kinds.map(kind => formatShare(byKind.get(kind.name)!)),
    String(round(quantile(waits, 0.5))),
    String(round(quantile(waits, 0.99))),
    mean(({usedShare}) => usedShare).toFixed(2),
    `${(100 * mean(({lostShare}) => lostShare)).toFixed(1)} %`,
    String(Math.round(mean(({stops}) => stops))),
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
