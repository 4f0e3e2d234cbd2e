/** Measures the planner on whole days with trouble, on virtual time. */
import {quantile, round, type Table} from '../report.js';
import {plan} from '@primrosewick/state';
import {BenchCluster} from './cluster.js';
import {DAYS} from './days.js';
import type {LoadPattern} from './load.js';
import type {ClusterResult, Policy} from './types.js';
import {shareOf, totalOf, worthByKind} from './worth.js';

const RUNS_PER_DAY = 2;

/** Columns of `makeDayRow`. */
const COLUMNS = [
  'day',
  'worth',
  'curves',
  'checks',
  'lookups',
  'refused',
  'wait p50 ms',
  'wait p95 ms',
  'used',
  'lost',
  'runs',
  'stops',
  'preempted',
  'of use',
  'broken',
  'most of a task',
  'of a workflow',
];

const sumOf = <T>(items: readonly T[], read: (item: T) => number): number =>
  items.reduce((sum, item) => sum + read(item), 0);

const makeDayRow = (
  {name, kinds}: LoadPattern,
  results: readonly ClusterResult[],
): string[] => {
  const outcomes = results.flatMap(result => result.outcomes);
  const byKind = worthByKind(outcomes);
  const waits = outcomes.map(({waitMs}) => waitMs ?? Infinity);
  const mean = (read: (result: ClusterResult) => number): number =>
    sumOf(results, read) / results.length;
  const most = (read: (result: ClusterResult) => number): number =>
    Math.max(...results.map(read));
  return [
    name,
    shareOf(totalOf(byKind.values())).toFixed(3),
    ...kinds.map(kind => shareOf(byKind.get(kind.name)!).toFixed(3)),
    String(Math.round(mean(({refusedCount}) => refusedCount))),
    String(round(quantile(waits, 0.5))),
    String(round(quantile(waits, 0.95))),
    mean(({usedShare}) => usedShare).toFixed(2),
    `${(100 * mean(({lostShare}) => lostShare)).toFixed(1)} %`,
    String(Math.round(mean(({runCount}) => runCount))),
    String(Math.round(mean(({stops}) => stops.stops))),
    String(Math.round(mean(({stops}) => stops.preemptions))),
    mean(({stops}) => stops.usefulShare).toFixed(2),
    String(Math.round(mean(({stops}) => stops.brokenGangs))),
    String(most(({stops}) => stops.mostOfTask)),
    String(most(({stops}) => stops.mostOfWorkflow)),
  ];
};

/** Simulates days under a policy; each with several seeds. */
export const measureDays = (
  days: readonly LoadPattern[],
  policy: Policy,
  seed: number,
): string[][] =>
  days.map(day =>
    makeDayRow(
      day,
      Array.from({length: RUNS_PER_DAY}, (_, i) =>
        new BenchCluster(day, policy, seed + 10 * i).run(),
      ),
    ),
  );

/** Simulates all days under the planner. */
export const benchSchedulingDays = (seed: number): Table => ({
  heading: 'Workflows: days with trouble, on virtual time',
  columns: COLUMNS,
  rows: measureDays(DAYS, plan, seed),
});
