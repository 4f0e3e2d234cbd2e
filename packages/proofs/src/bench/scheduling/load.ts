/**
 * Generates streams of workflow submissions for the benchmark of the scheduler.
 */
import type {Random, StepSpec, WorkflowSpec} from '@primrosewick/state';
import type {LeaderTiming} from './leader_pace.js';

/** One kind of workflow, with the mean values of its rate, size and demand. */
export interface WorkflowKind {
  readonly name: string;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly arrivalsPerSecond: number;
  /**
   * Worth earned by a workflow of mean size that completes within its
   * objective.
   */
  readonly worth: number;
  readonly steps: number;
  readonly tasks: number;
  readonly taskMs: number;
  readonly cpuMillis: number;
  /** Mean memory of a task, in MB; three for each thousandth of a core if not given. */
  readonly memMb?: number;
  /** Workflows that are there at the start. */
  readonly initialCount?: number;
  /** Fraction of steps that are gangs: all their tasks must run together. */
  readonly gangShare: number;
  /** Fraction of steps whose tasks write checkpoints. */
  readonly checkpointableShare: number;
  /**
   * Largest error of an estimate, as a fraction of the mean duration of the
   * step's tasks.
   */
  readonly maxEstimateError: number;
  /** Deviation of the logarithm of an estimate's error; 0 if not given. */
  readonly estimateDeviation?: number;
  readonly stretch: number;
  readonly objectiveMs: number;
  readonly advice: {
    readonly baseMs: number;
    readonly perWorkerMs: number;
    readonly validMs: number;
    /** Fraction of the workers that the adviser allows. */
    readonly allowedShare: number;
  };
}

/** A load and the losses of workers during it. */
export interface LoadPattern {
  readonly name: string;
  readonly kinds: readonly WorkflowKind[];
  readonly workerCount: number;
  /**
   * Callers that the adviser serves, each with one call in flight at a time.
   */
  readonly callerCount: number;
  readonly durationMs: number;
  /** Time after the arrivals in which work may still complete, in ms. */
  readonly drainMs?: number;
  /**
   * Periods in which the arrival rate of one kind is multiplied by `factor`.
   */
  readonly bursts: ReadonlyArray<{
    readonly kind: string;
    readonly at: number;
    readonly durationMs: number;
    readonly factor: number;
  }>;
  /** Workers that are lost for good at a time. */
  readonly losses: ReadonlyArray<{readonly at: number; readonly count: number}>;
  /** Periods without a leader; after each, all advice is lost. */
  readonly outages?: ReadonlyArray<{
    readonly at: number;
    readonly durationMs: number;
  }>;
  /** Speed of the leader; without it, passes take no time. */
  readonly leader?: LeaderTiming;
  /** Speeds of the workers, in turn; 1 if not given. */
  readonly workerSpeeds?: readonly number[];
  /** Fraction of tasks, and of gangs, that take longer by a factor. */
  readonly tails?: {readonly share: number; readonly factor: number};
  /** Memory of a worker, in MB. */
  readonly workerMemMb?: number;
  /** Time of a restore from a checkpoint and longest time of a stop, in ms. */
  readonly restoreMs?: number;
  readonly maxStopMs?: number;
  /** Whether work that would be useless when done is refused. */
  readonly hasAdmission?: boolean;
}

/** A submitted workflow, with the true durations of its tasks. */
export interface Arrival {
  readonly at: number;
  readonly id: string;
  readonly kind: WorkflowKind;
  readonly spec: WorkflowSpec;
  /** True durations in ms, by step and task. */
  readonly durations: ReadonlyArray<readonly number[]>;
}

const TIME_SPREAD = 0.5;
const WIDTH_SPREAD = 0.8;
const CPU_SPREAD = 0.4;
const TASK_TIME_VARIATION = 0.25;
const MAX_FACTOR = 6;
const MAX_CPU_MILLIS = 15_000;
const MEM_SPREAD = 0.5;
const MAX_MEM_FACTOR = 2.5;
const DRAW_RESOLUTION = 1_000_000;

/** Draws a uniform random number in (0, 1]. */
const drawUniform = (random: Random): number =>
  random.nextInt(1, DRAW_RESOLUTION) / DRAW_RESOLUTION;

/** Draws a number from a normal distribution. */
const drawNormal = (random: Random): number =>
  Math.sqrt(-2 * Math.log(drawUniform(random))) *
  Math.cos(2 * Math.PI * drawUniform(random));

/**
 * Draws a factor from a log-normal distribution with mean 1 and the relative
 * standard deviation `spread`, capped at `MAX_FACTOR`.
 */
const drawFactor = (random: Random, spread: number): number => {
  const normal = drawNormal(random);
  const sigma = Math.sqrt(Math.log(1 + spread * spread));
  return Math.min(MAX_FACTOR, Math.exp(sigma * normal - (sigma * sigma) / 2));
};

const makeStep = (
  kind: WorkflowKind,
  index: number,
  taskMs: number,
  random: Random,
  tails: LoadPattern['tails'],
): {readonly spec: StepSpec; readonly durations: number[]} => {
  const taskCount = Math.max(
    1,
    Math.round(kind.tasks * drawFactor(random, WIDTH_SPREAD)),
  );
  const isGang = drawUniform(random) <= kind.gangShare;
  const cpuMillis = Math.min(
    MAX_CPU_MILLIS,
    Math.round(kind.cpuMillis * drawFactor(random, CPU_SPREAD)),
  );
  const memMb =
    kind.memMb === undefined
      ? 3 * cpuMillis
      : Math.round(
          kind.memMb * Math.min(MAX_MEM_FACTOR, drawFactor(random, MEM_SPREAD)),
        );
  const estimateFactor =
    1 + (2 * drawUniform(random) - 1) * kind.maxEstimateError;
  const deviation = kind.estimateDeviation ?? 0;
  const errorFactor =
    deviation === 0 ? 1 : Math.exp(deviation * drawNormal(random));
  const tailFactor = (): number =>
    tails && drawUniform(random) <= tails.share ? tails.factor : 1;
  const gangFactor = isGang ? tailFactor() : 1;
  return {
    spec: {
      taskCount,
      room: {cpuMillis, memMb, gpus: 0},
      estimateMs: Math.round(taskMs * estimateFactor * errorFactor),
      after: index === 0 ? [] : [index - 1],
      isCheckpointable: drawUniform(random) <= kind.checkpointableShare,
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
      isGang
        ? taskMs * gangFactor
        : taskMs *
          (1 + (2 * drawUniform(random) - 1) * TASK_TIME_VARIATION) *
          tailFactor(),
    ),
  };
};

const makeArrival = (
  kind: WorkflowKind,
  at: number,
  number: number,
  random: Random,
  tails: LoadPattern['tails'],
): Arrival => {
  const fraction = kind.steps - Math.floor(kind.steps);
  const stepCount =
    Math.floor(kind.steps) + (drawUniform(random) <= fraction ? 1 : 0);
  const taskMs = kind.taskMs * drawFactor(random, TIME_SPREAD);
  const steps = Array.from({length: stepCount}, (_, index) =>
    makeStep(kind, index, taskMs, random, tails),
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

/** Generates all workflows of a pattern, ordered by arrival time. */
export const generateArrivals = (
  pattern: LoadPattern,
  random: Random,
): Arrival[] => {
  const arrivals: Arrival[] = [];
  for (const kind of pattern.kinds) {
    let at = 0;
    let number = 0;
    for (; number < (kind.initialCount ?? 0); number++)
      arrivals.push(makeArrival(kind, 0, number, random, pattern.tails));
    for (; ; number++) {
      const burst = pattern.bursts.find(
        given =>
          given.kind === kind.name &&
          at >= given.at &&
          at < given.at + given.durationMs,
      );
      const perMs = (kind.arrivalsPerSecond * (burst?.factor ?? 1)) / 1000;
      at += -Math.log(drawUniform(random)) / perMs;
      if (at >= pattern.durationMs) break;
      arrivals.push(makeArrival(kind, at, number, random, pattern.tails));
    }
  }
  return arrivals.sort((a, b) => a.at - b.at);
};

export const CURVES: WorkflowKind = {
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

export const CHECKS: WorkflowKind = {
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

export const LOOKUPS: WorkflowKind = {
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

export const STEADY: LoadPattern = {
  name: 'steady',
  kinds: [CURVES, CHECKS, LOOKUPS],
  workerCount: 32,
  callerCount: 12,
  durationMs: 45_000,
  bursts: [],
  losses: [],
};

/** Wide gangs on top of small tasks, on a fleet without spare capacity. */
const WIDE_GANGS: LoadPattern = {
  ...STEADY,
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
  bursts: [{kind: 'curves', at: 3000, durationMs: 6000, factor: 2}],
  losses: [{at: 8000, count: 100}],
};

/** The load patterns that the benchmark simulates. */
export const LOAD_PATTERNS: readonly LoadPattern[] = [
  STEADY,
  {
    ...STEADY,
    name: 'bursts',
    bursts: [
      {kind: 'lookups', at: 5600, durationMs: 4000, factor: 1.8},
      {kind: 'curves', at: 18_000, durationMs: 4000, factor: 1.7},
    ],
  },
  {
    ...STEADY,
    name: 'bursts, workers lost',
    bursts: [
      {kind: 'lookups', at: 5600, durationMs: 4000, factor: 1.8},
      {kind: 'curves', at: 18_000, durationMs: 4000, factor: 1.7},
    ],
    losses: [
      {at: 6400, count: 2},
      {at: 11_000, count: 2},
      {at: 20_000, count: 2},
    ],
  },
  WIDE_GANGS,
];
