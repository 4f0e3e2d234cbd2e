/**
 * Pairs of kinds of tasks of which one slows the other down. Load pattern: two
 * images on one worker disturb each other, by amounts that change within
 * seconds, between slow workers and single runs that take 7 times as long.
 */
import type {WorkerId} from '../../ids/types.js';
import {clamp, setNewest, toStored} from '../estimates/numbers.js';
import type {PairImage, PairState, TaskKind} from './types.js';

/** Maximum number of pairs; the least recently used are evicted. */
export const MAX_PAIRS = 256;
/** Time after which an end counts half, in ms. */
const HALF_LIFE_MS = 30_000;
/** Ends that are remembered at most, so that a change shows within 30 ends. */
const MAX_WEIGHT = 32;
/** Ends before a pair counts, and those below which it is forgotten. */
const MIN_WEIGHT = 12;
const MIN_KEPT_WEIGHT = 2;
/** A pair counts once it surely slows by 15 %, and until it is below 10 %. */
const MIN_LOG = Math.log(1.15);
const MIN_KEPT_LOG = Math.log(1.1);
/** Standard errors by which it must be above that. */
const SIGNIFICANCE = 2.5;
/**
 * Least variance of an end. Ends of one step share the runs that they are
 * compared with; with 0.01, a slowdown of 10 % was taken for one of 15 %.
 */
const MIN_VARIANCE = 0.02;
/** Largest ratio that one end counts with; a tail of 7 times counts as this. */
const MAX_END_LOG = Math.log(2);
/** An end is slowed if it took 10 % longer; most ends must be. */
const SLOWED_LOG = Math.log(1.1);
const MIN_SLOWED_FRACTION = 0.7;
/**
 * Least number of workers behind a pair, and largest fraction of its ends from
 * one of them: a worker that has become slow looks like its tasks.
 */
const MIN_WORKERS = 3;
const MAX_WORKER_FRACTION = 0.5;
/** Workers that are remembered for a pair. */
const KEPT_WORKERS = 5;

/** One end of a victim beside a neighbour. */
export interface PairSample {
  readonly victim: TaskKind;
  readonly neighbour: TaskKind;
  readonly worker: WorkerId;
  /** Logarithm of its time over that of the runs without the neighbour. */
  readonly log: number;
  /** Number of ends that it counts as, up to 1. */
  readonly gain: number;
  /** Wall time of the end, in ms since 1970. */
  readonly at: number;
}

const UNKNOWN: PairState = {
  mean: 0,
  variance: 0,
  weight: 0,
  slowed: 0,
  at: 0,
  workers: [],
  counts: false,
};

/** Learned disturbance by ordered pair. */
export class DisturbingPairs {
  private readonly byKey = new Map<string, PairImage>();

  /** Learns from one end. */
  note(sample: PairSample): void {
    const {victim, neighbour} = sample;
    const key = pairKey(victim, neighbour);
    const known = this.byKey.get(key)?.[2] ?? UNKNOWN;
    const next = withCounts(learn(known, sample));
    setNewest(this.byKey, key, [victim, neighbour, next], MAX_PAIRS);
  }

  /**
   * Logarithm of the ratio by which a neighbour slows a victim, at a wall time in
   * ms since 1970; 0 unless the pair counts.
   */
  logOf(victim: TaskKind, neighbour: TaskKind, wall: number): number {
    const state = this.byKey.get(pairKey(victim, neighbour))?.[2];
    return state && isInForce(state, wall) ? state.mean : 0;
  }

  /** The pairs that count at a wall time, in ms since 1970. */
  inForce(wall: number): PairImage[] {
    return [...this.byKey.values()].filter(([, , state]) =>
      isInForce(state, wall),
    );
  }

  toImage(): PairImage[] {
    return [...this.byKey.values()];
  }

  restore(pairs: readonly PairImage[]): void {
    this.byKey.clear();
    for (const pair of pairs) this.byKey.set(pairKey(pair[0], pair[1]), pair);
  }

  get size(): number {
    return this.byKey.size;
  }
}

const pairKey = (victim: TaskKind, neighbour: TaskKind): string =>
  `${victim}\n${neighbour}`;

const agedBy = (ms: number): number => 2 ** (-Math.max(0, ms) / HALF_LIFE_MS);

const isInForce = ({counts, weight, at}: PairState, wall: number): boolean =>
  counts && weight * agedBy(wall - at) >= MIN_KEPT_WEIGHT;

const learn = (
  state: PairState,
  {worker, log, gain, at}: PairSample,
): PairState => {
  const limit = MAX_WEIGHT / Math.max(MAX_WEIGHT, state.weight + gain);
  const kept = agedBy(at - state.at) * limit;
  const weight = state.weight * kept + gain;
  const change = clamp(log, -MAX_END_LOG, MAX_END_LOG) - state.mean;
  const part = gain / weight;
  const isSlowed = log > SLOWED_LOG;
  return {
    mean: toStored(state.mean + part * change),
    variance: toStored((1 - part) * (state.variance + part * change ** 2)),
    weight: toStored(weight),
    slowed: toStored(state.slowed * kept + (isSlowed ? gain : 0)),
    at: Math.max(at, state.at),
    workers: addWorker(state.workers, worker, kept, gain),
    counts: state.counts,
  };
};

const addWorker = (
  known: PairState['workers'],
  worker: WorkerId,
  kept: number,
  gain: number,
): PairState['workers'] => {
  const own = known.find(([id]) => id === worker)?.[1] ?? 0;
  const others = known
    .filter(([id]) => id !== worker)
    .map(([id, weight]) => [id, toStored(weight * kept)] as const)
    .sort((a, b) => b[1] - a[1])
    .slice(0, KEPT_WORKERS - 1);
  return [[worker, toStored(own * kept + gain)], ...others];
};

const withCounts = (state: PairState): PairState => ({
  ...state,
  counts: state.counts ? isKept(state) : isSure(state),
});

const isKept = ({weight, mean}: PairState): boolean =>
  weight >= MIN_KEPT_WEIGHT && mean >= MIN_KEPT_LOG;

const isSure = ({
  weight,
  mean,
  variance,
  slowed,
  workers,
}: PairState): boolean => {
  if (weight < MIN_WEIGHT || workers.length < MIN_WORKERS) return false;
  const error = Math.sqrt(Math.max(MIN_VARIANCE, variance) / weight);
  const most = Math.max(...workers.map(([, share]) => share));
  return (
    mean - SIGNIFICANCE * error > MIN_LOG &&
    slowed >= MIN_SLOWED_FRACTION * weight &&
    most <= MAX_WORKER_FRACTION * weight
  );
};
