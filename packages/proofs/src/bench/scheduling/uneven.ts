/**
 * Measures the planner on workers of different speeds, with estimates that are
 * far off and some tasks that take much longer, on virtual time: with the
 * estimates of the clients, with what it learns, and with true times.
 */
import {plan} from '@primrosewick/state';
import type {Table} from '../report.js';
import {BenchCluster} from './cluster.js';
import {CHECKS, CURVES, LOOKUPS, type LoadPattern} from './load.js';
import {makeRow} from './table.js';
import type {Knowledge} from './types.js';

const ESTIMATE_DEVIATION = 0.9;
const KNOWLEDGE: readonly Knowledge[] = ['declared', 'learned', 'true'];

/** A load of two thirds of workers of which a third is more than twice as fast. */
export const UNEVEN: LoadPattern = {
  name: 'uneven workers',
  workerCount: 245,
  callerCount: 44,
  durationMs: 15_000,
  // Long enough for the longest tails, on slow workers.
  drainMs: 120_000,
  workerSpeeds: [0.7, 0.7, 1.7],
  tails: {share: 0.03, factor: 7},
  workerMemMb: 131_072,
  restoreMs: 250,
  maxStopMs: 200,
  hasAdmission: true,
  bursts: [],
  losses: [],
  kinds: [
    {
      ...CURVES,
      arrivalsPerSecond: 3.67,
      worth: 8.44,
      steps: 1,
      tasks: 20,
      taskMs: 3400,
      memMb: 26_000,
      maxEstimateError: 0,
      estimateDeviation: ESTIMATE_DEVIATION,
      advice: {
        baseMs: 430,
        perWorkerMs: 6.2,
        validMs: 2500,
        allowedShare: 0.35,
      },
    },
    {
      ...CHECKS,
      arrivalsPerSecond: 7.59,
      worth: 3.99,
      tasks: 25,
      taskMs: 1900,
      cpuMillis: 3500,
      memMb: 13_000,
      maxEstimateError: 0,
      estimateDeviation: ESTIMATE_DEVIATION,
      advice: {
        baseMs: 120,
        perWorkerMs: 1.8,
        validMs: 2500,
        allowedShare: 0.45,
      },
    },
    {
      ...LOOKUPS,
      arrivalsPerSecond: 84.7,
      worth: 0.401,
      tasks: 3,
      taskMs: 540,
      cpuMillis: 5000,
      memMb: 14_000,
      maxEstimateError: 0,
      estimateDeviation: ESTIMATE_DEVIATION,
      advice: {baseMs: 9, perWorkerMs: 0.13, validMs: 2500, allowedShare: 0.7},
    },
  ],
};

/** The same load on workers of one speed. */
const EVEN: LoadPattern = {
  ...UNEVEN,
  name: 'even workers',
  workerSpeeds: [1],
};

/** The same load, more than the workers can do. */
const OVERLOADED: LoadPattern = {
  ...UNEVEN,
  name: 'uneven workers, 1.5 times the load',
  kinds: UNEVEN.kinds.map(kind => ({
    ...kind,
    arrivalsPerSecond: 1.5 * kind.arrivalsPerSecond,
  })),
};

/** Simulates the loads with each kind of knowledge. */
export const benchUnevenWorkers = (seed: number): Table => ({
  heading: 'Workflows: workers of different speeds, on virtual time',
  columns: [
    'load',
    'known',
    'worth',
    ...UNEVEN.kinds.map(({name}) => name),
    'wait p50 ms',
    'wait p99 ms',
    'used',
    'lost',
    'stops',
  ],
  rows: [UNEVEN, EVEN, OVERLOADED].flatMap(pattern =>
    KNOWLEDGE.map(knowledge =>
      makeRow(pattern, knowledge, [
        new BenchCluster(pattern, plan, seed, knowledge).run(),
      ]),
    ),
  ),
});
