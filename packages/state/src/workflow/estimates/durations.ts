/**
 * Run times by queue and image. Load pattern: estimates of clients that are off
 * by a factor of ten in either direction.
 */
import type {QueueName} from '../../bundle/types.js';
import {clamp, setNewest, toStored} from './numbers.js';
import type {
  DurationImage,
  DurationState,
  EstimatedStep,
  UsedDuration,
} from './types.js';

/** Maximum number of kinds of steps; the least recently used are evicted. */
export const MAX_DURATIONS = 512;
/** Kinds with a longer name are not learned, which bounds the state image. */
const MAX_KEY_LENGTH = 160;
/** Ended steps until which the estimates of the client are used alone. */
export const MIN_STEPS = 8;
/** Number of steps over which the learned values age. */
const WINDOW_STEPS = 48;
/** Largest difference that one step counts with: a factor of 6. */
const MAX_OFF_LOG = Math.log(6);
/** Least variance, so that a few equal times are not taken as certain. */
const MIN_VARIANCE = 0.01;
/**
 * Estimates whose error is below this are used as they are: 0.25 is a typical
 * error of 28 %. The lower limit avoids switching back and forth.
 */
const MIN_ERROR = 0.25;
const MIN_ERROR_WHEN_USED = 0.18;
/** Change of a learned value, in logarithms, that is worth using. */
const USED_CHANGE = 0.08;

const UNKNOWN: DurationState = {
  count: 0,
  mean: 0,
  variance: 0,
  errorCount: 0,
  bias: 0,
  errorVariance: 0,
  workMs: 0,
  estimateMs: 0,
};

/** Steps with the same key take similar times. */
const durationKey = ({queue, step, spec}: EstimatedStep): string =>
  spec.image === undefined ? `${queue}\n#${step}` : `${queue}\n@${spec.image}`;

/** Learned times by kind of step. */
export class TaskDurations {
  private readonly byKey = new Map<string, DurationState>();
  /** Changes whenever any value in use does. */
  generation = 0;
  /** Number of kinds of steps whose learned times are used. */
  usedCount = 0;

  /** What is used for a step; undefined if its estimate is used as it is. */
  usedFor(step: EstimatedStep): UsedDuration | undefined {
    return this.usedCount === 0
      ? undefined
      : this.byKey.get(durationKey(step))?.used;
  }

  /** Learns the logarithm of the median time of a step at speed 1, in ms. */
  note(step: EstimatedStep, logWork: number): void {
    const key = durationKey(step);
    if (key.length > MAX_KEY_LENGTH) return;
    const known = this.byKey.get(key) ?? UNKNOWN;
    const next = withUsed(learn(known, logWork, step.spec.estimateMs));
    const mayEvict = known === UNKNOWN && this.byKey.size >= MAX_DURATIONS;
    setNewest(this.byKey, key, next, MAX_DURATIONS);
    if (mayEvict || next.used !== known.used) this.noteChange();
  }

  /** Ratio of the times of a queue at speed 1 to its estimates; 1 if not known. */
  ratioOf(queue: QueueName): number {
    let workMs = 0;
    let estimateMs = 0;
    for (const [key, state] of this.byKey) {
      if (!state.used || !key.startsWith(`${queue}\n`)) continue;
      workMs += state.workMs;
      estimateMs += state.estimateMs;
    }
    return estimateMs > 0 ? workMs / estimateMs : 1;
  }

  toImage(): DurationImage[] {
    return [...this.byKey].map(([key, state]) => [key, toValues(state)]);
  }

  restore(durations: readonly DurationImage[]): void {
    this.byKey.clear();
    for (const [key, values] of durations)
      this.byKey.set(key, fromValues(values));
    this.noteChange();
  }

  private noteChange(): void {
    this.generation++;
    this.usedCount = 0;
    for (const {used} of this.byKey.values()) if (used) this.usedCount++;
  }

  get size(): number {
    return this.byKey.size;
  }
}

const toValues = ({used, ...state}: DurationState): number[] => [
  state.count,
  state.mean,
  state.variance,
  state.errorCount,
  state.bias,
  state.errorVariance,
  state.workMs,
  state.estimateMs,
  ...(used ? [used.mean, used.variance, used.bias, used.errorVariance] : []),
];

const fromValues = (values: readonly number[]): DurationState => {
  const at = (index: number): number => values[index] ?? 0;
  return {
    count: at(0),
    mean: at(1),
    variance: at(2),
    errorCount: at(3),
    bias: at(4),
    errorVariance: at(5),
    workMs: at(6),
    estimateMs: at(7),
    ...(values.length > 8 && {
      used: {
        mean: at(8),
        variance: at(9),
        bias: at(10),
        errorVariance: at(11),
      },
    }),
  };
};

/** Aged mean and variance after one more value. */
const average = (
  {count, mean, variance}: Pick<DurationState, 'count' | 'mean' | 'variance'>,
  value: number,
) => {
  const gain = Math.max(1 / (count + 1), 1 / WINDOW_STEPS);
  const limit = count < MIN_STEPS ? Number.POSITIVE_INFINITY : MAX_OFF_LOG;
  const off = clamp(value - mean, -limit, limit);
  return {
    count: Math.min(count + 1, WINDOW_STEPS),
    mean: toStored(mean + gain * off),
    variance: toStored((1 - gain) * (variance + gain * off * off)),
  };
};

const learn = (
  state: DurationState,
  logWork: number,
  estimateMs: number,
): DurationState => {
  const {count, mean, variance} = average(state, logWork);
  if (estimateMs <= 0) return {...state, count, mean, variance};
  const error = average(
    {
      count: state.errorCount,
      mean: state.bias,
      variance: state.errorVariance,
    },
    logWork - Math.log(estimateMs),
  );
  const kept = 1 - 1 / WINDOW_STEPS;
  return {
    ...state,
    count,
    mean,
    variance,
    errorCount: error.count,
    bias: error.mean,
    errorVariance: error.variance,
    workMs: Math.round(kept * state.workMs + Math.exp(logWork)),
    estimateMs: Math.round(kept * state.estimateMs + estimateMs),
  };
};

/** Replaces the values in use if the learned ones have moved away from them. */
const withUsed = (state: DurationState): DurationState => {
  const {count, mean, variance, errorCount, bias, errorVariance, used} = state;
  const errorOf = Math.sqrt(bias * bias + errorVariance);
  const minError = used ? MIN_ERROR_WHEN_USED : MIN_ERROR;
  const isTrusted = errorCount >= MIN_STEPS && errorOf < minError;
  if (count < MIN_STEPS || isTrusted) return withoutUsed(state);
  const next = {mean, variance, bias, errorVariance};
  return used && isClose(used, next) ? state : {...state, used: next};
};

const withoutUsed = ({used: unused, ...state}: DurationState): DurationState =>
  state;

const isClose = (a: UsedDuration, b: UsedDuration): boolean =>
  Math.abs(a.mean - b.mean) < USED_CHANGE &&
  Math.abs(a.bias - b.bias) < USED_CHANGE &&
  Math.abs(Math.sqrt(a.variance) - Math.sqrt(b.variance)) < USED_CHANGE &&
  Math.abs(Math.sqrt(a.errorVariance) - Math.sqrt(b.errorVariance)) <
    USED_CHANGE;

/** A guess of a logarithm with its variance. */
export interface Guess {
  readonly log: number;
  readonly variance: number;
}

/** Guesses of the time of a step, from its estimate and from what is learned. */
export const guessesOf = (
  used: UsedDuration,
  estimateMs: number,
): readonly Guess[] => {
  const learned = {
    log: used.mean,
    variance: Math.max(MIN_VARIANCE, used.variance),
  };
  if (estimateMs <= 0) return [learned];
  const declared = {
    log: Math.log(estimateMs) + used.bias,
    variance: Math.max(MIN_VARIANCE, used.errorVariance),
  };
  return [learned, declared];
};

/** Mean of guesses, weighted by their inverse variances. */
export const blend = (guesses: readonly Guess[]): number => {
  let sum = 0;
  let weights = 0;
  for (const {log, variance} of guesses) {
    sum += log / variance;
    weights += 1 / variance;
  }
  return weights === 0 ? 0 : sum / weights;
};
