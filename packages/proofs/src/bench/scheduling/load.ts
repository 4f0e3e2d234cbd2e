/** Streams of workflows for the scheduler's bench: who hands in what, and when. */
import type {Random, StepSpec, WorkflowSpec} from '@primrosewick/state';

/** One kind of workflow, with the means of what it asks for. */
export interface WorkflowKind {
  readonly name: string;
  /** 0 comes first. */
  readonly priority: number;
  readonly arrivalsPerSecond: number;
  /** Worth of a workflow of mean size that is done in time. */
  readonly worth: number;
  readonly steps: number;
  readonly tasks: number;
  readonly taskMs: number;
  readonly cpuMillis: number;
  /** Share of steps whose tasks work only together. */
  readonly gangShare: number;
  /** Share of steps whose tasks save their progress. */
  readonly checkpointableShare: number;
  /** Most that an estimate is off, as a share of the true time. */
  readonly maxEstimateError: number;
  readonly stretch: number;
  readonly objectiveMs: number;
  readonly advice: {
    readonly baseMs: number;
    readonly perWorkerMs: number;
    readonly validMs: number;
    /** Share of the workers that the adviser allows. */
    readonly allowedShare: number;
  };
}

/** A load and what happens to the workers. */
export interface LoadPattern {
  readonly name: string;
  readonly kinds: readonly WorkflowKind[];
  readonly workerCount: number;
  /** Callers that the adviser serves, one call at a time each. */
  readonly callerCount: number;
  readonly durationMs: number;
  /** More of one kind for a while. */
  readonly bursts: ReadonlyArray<{
    readonly kind: string;
    readonly at: number;
    readonly forMs: number;
    readonly factor: number;
  }>;
  /** Workers that are gone from a time on. */
  readonly losses: ReadonlyArray<{readonly at: number; readonly count: number}>;
}

/** A workflow that is handed in, with the true durations of its tasks. */
export interface Arrival {
  readonly at: number;
  readonly id: string;
  readonly kind: WorkflowKind;
  readonly spec: WorkflowSpec;
  /** True durations in ms, by step and task. */
  readonly durations: ReadonlyArray<readonly number[]>;
}

const SPREAD_TIME = 0.5;
const SPREAD_WIDTH = 0.8;
const SPREAD_CPU = 0.4;
const UNEVEN = 0.25;
const MAX_FACTOR = 6;
const MAX_CPU_MILLIS = 15_000;
const DRAWS = 1_000_000;

/** Draws a number in (0, 1]. */
const draw = (random: Random): number => random.nextInt(1, DRAWS) / DRAWS;

/** A factor with mean 1, spread as a log-normal distribution. */
const spreadBy = (random: Random, spread: number): number => {
  const normal =
    Math.sqrt(-2 * Math.log(draw(random))) *
    Math.cos(2 * Math.PI * draw(random));
  const sigma = Math.sqrt(Math.log(1 + spread * spread));
  return Math.min(MAX_FACTOR, Math.exp(sigma * normal - (sigma * sigma) / 2));
};

const makeStep = (
  kind: WorkflowKind,
  index: number,
  taskMs: number,
  random: Random,
): {readonly spec: StepSpec; readonly durations: number[]} => {
  const taskCount = Math.max(
    1,
    Math.round(kind.tasks * spreadBy(random, SPREAD_WIDTH)),
  );
  const isGang = draw(random) <= kind.gangShare;
  const cpuMillis = Math.min(
    MAX_CPU_MILLIS,
    Math.round(kind.cpuMillis * spreadBy(random, SPREAD_CPU)),
  );
  const off = 1 + (2 * draw(random) - 1) * kind.maxEstimateError;
  return {
    spec: {
      taskCount,
      room: {cpuMillis, memMb: 3 * cpuMillis, gpus: 0},
      estimateMs: Math.round(taskMs * off),
      after: index === 0 ? [] : [index - 1],
      isCheckpointable: draw(random) <= kind.checkpointableShare,
      isGang,
      isRackLocal: false,
      maxPerWorker: 0,
      isSpeculative: false,
      isLongRunning: false,
      latencyTargetMs: 0,
      usesLeftover: false,
      maxUnavailable: 0,
    },
    durations: Array.from({length: taskCount}, () =>
      isGang ? taskMs : taskMs * (1 + (2 * draw(random) - 1) * UNEVEN),
    ),
  };
};

const makeArrival = (
  kind: WorkflowKind,
  at: number,
  number: number,
  random: Random,
): Arrival => {
  const extra = kind.steps - Math.floor(kind.steps);
  const stepCount = Math.floor(kind.steps) + (draw(random) <= extra ? 1 : 0);
  const taskMs = kind.taskMs * spreadBy(random, SPREAD_TIME);
  const steps = Array.from({length: stepCount}, (_, index) =>
    makeStep(kind, index, taskMs, random),
  );
  return {
    at,
    id: `${kind.name}-${number}`,
    kind,
    spec: {
      payload: '',
      steps: steps.map(({spec}) => spec),
      occurrences: 0,
      firstDueAt: 0,
      intervalMs: 0,
    },
    durations: steps.map(({durations}) => durations),
  };
};

/** All workflows of a pattern in the order of their times. */
export const generateArrivals = (
  pattern: LoadPattern,
  random: Random,
): Arrival[] => {
  const arrivals: Arrival[] = [];
  for (const kind of pattern.kinds) {
    let at = 0;
    for (let number = 0; ; number++) {
      const burst = pattern.bursts.find(
        given =>
          given.kind === kind.name &&
          at >= given.at &&
          at < given.at + given.forMs,
      );
      const perMs = (kind.arrivalsPerSecond * (burst?.factor ?? 1)) / 1000;
      at += -Math.log(draw(random)) / perMs;
      if (at >= pattern.durationMs) break;
      arrivals.push(makeArrival(kind, at, number, random));
    }
  }
  return arrivals.sort((a, b) => a.at - b.at);
};

const CURVES: WorkflowKind = {
  name: 'curves',
  priority: 1,
  arrivalsPerSecond: 1.27,
  worth: 8.65,
  steps: 1.2,
  tasks: 5,
  taskMs: 6200,
  cpuMillis: 9000,
  gangShare: 1,
  checkpointableShare: 0.5,
  maxEstimateError: 0.2,
  stretch: 2.2,
  objectiveMs: 1000,
  advice: {baseMs: 586, perWorkerMs: 5.9, validMs: 2500, allowedShare: 0.35},
};

const CHECKS: WorkflowKind = {
  name: 'checks',
  priority: 2,
  arrivalsPerSecond: 3.81,
  worth: 1.8,
  steps: 1.5,
  tasks: 10,
  taskMs: 2700,
  cpuMillis: 2000,
  gangShare: 0,
  checkpointableShare: 0.8,
  maxEstimateError: 0.9,
  stretch: 4,
  objectiveMs: 3000,
  advice: {baseMs: 94, perWorkerMs: 0.94, validMs: 2500, allowedShare: 0.45},
};

const LOOKUPS: WorkflowKind = {
  name: 'lookups',
  priority: 0,
  arrivalsPerSecond: 21.6,
  worth: 0.444,
  steps: 1,
  tasks: 2,
  taskMs: 1000,
  cpuMillis: 2800,
  gangShare: 0.3,
  checkpointableShare: 0,
  maxEstimateError: 0.9,
  stretch: 1.5,
  objectiveMs: 300,
  advice: {baseMs: 17, perWorkerMs: 0.17, validMs: 2500, allowedShare: 0.7},
};

const base: LoadPattern = {
  name: 'steady',
  kinds: [CURVES, CHECKS, LOOKUPS],
  workerCount: 32,
  callerCount: 12,
  durationMs: 45_000,
  bursts: [],
  losses: [],
};

/** Wide gangs above small work on a fleet that has no room to spare. */
const WIDE: LoadPattern = {
  ...base,
  name: 'wide gangs, two fifths of the workers lost',
  workerCount: 245,
  callerCount: 49,
  durationMs: 34_000,
  kinds: [
    {
      ...CURVES,
      arrivalsPerSecond: 3,
      worth: 13.1,
      tasks: 20,
      taskMs: 5000,
      advice: {
        baseMs: 430,
        perWorkerMs: 6.2,
        validMs: 2000,
        allowedShare: 0.35,
      },
    },
    {
      ...CHECKS,
      arrivalsPerSecond: 7.8,
      worth: 3.17,
      tasks: 25,
      taskMs: 2200,
      cpuMillis: 3500,
      advice: {baseMs: 80, perWorkerMs: 1.1, validMs: 2000, allowedShare: 0.45},
    },
    {
      ...LOOKUPS,
      arrivalsPerSecond: 87,
      worth: 0.398,
      tasks: 3.2,
      taskMs: 640,
      cpuMillis: 5000,
      advice: {baseMs: 7.2, perWorkerMs: 0.1, validMs: 2000, allowedShare: 0.7},
    },
  ],
  bursts: [{kind: 'curves', at: 3000, forMs: 6000, factor: 2}],
  losses: [{at: 8000, count: 100}],
};

/** The patterns that the bench plays. */
export const LOAD_PATTERNS: readonly LoadPattern[] = [
  base,
  {
    ...base,
    name: 'bursts',
    bursts: [
      {kind: 'lookups', at: 5600, forMs: 4000, factor: 1.8},
      {kind: 'curves', at: 18_000, forMs: 4000, factor: 1.7},
    ],
  },
  {
    ...base,
    name: 'bursts, workers lost',
    bursts: [
      {kind: 'lookups', at: 5600, forMs: 4000, factor: 1.8},
      {kind: 'curves', at: 18_000, forMs: 4000, factor: 1.7},
    ],
    losses: [
      {at: 6400, count: 2},
      {at: 11_000, count: 2},
      {at: 20_000, count: 2},
    ],
  },
  WIDE,
];
