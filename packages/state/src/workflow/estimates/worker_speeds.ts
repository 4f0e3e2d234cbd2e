/**
 * Speeds of workers relative to each other. Load pattern: workers of one size
 * whose speeds differ by a factor of two, and single runs that take many times
 * longer than usual.
 */
import type {WorkerId} from '../../ids/types.js';
import type {WorkerIncarnation} from '../types.js';
import {clamp, setNewest, toStored} from './numbers.js';
import type {SpeedState, SpeedsImage} from './types.js';

/** Maximum number of workers; the least recently used are evicted. */
export const MAX_WORKERS = 2000;
/** Ids over this length are not learned, which bounds the state image. */
export const MAX_ID_LENGTH = 64;
/** Time of ends after which a sample counts half, in ms. */
const HALF_LIFE_MS = 30_000;
/** Ends that the prior of speed 1 counts as. */
const PRIOR_WEIGHT = 2;
/** Weight that a new incarnation takes over from the one before at most. */
const MAX_INHERITED_WEIGHT = 2;
/** Ends after which a speed is compared with others. */
export const KNOWN_WEIGHT = 6;
const MAX_LOG_SPEED = Math.log(10);
/** A sample this far off is taken as a tail, and counts little. */
const TAIL_LOG = Math.log(4);
const TAIL_WEIGHT = 0.1;
/** Samples in a row that are far off and then count in full: a changed speed. */
const TAILS_OF_A_CHANGE = 3;
/** Largest change that one sample asks for. */
const MAX_STEP_LOG = Math.log(2.5);
/** Least ratio of two speeds that makes placement consider them. */
const MIN_SPREAD_LOG = Math.log(1.3);
/** Standard errors by which two speeds must differ in addition. */
const SIGNIFICANCE = 3;
/** Variance of single ends before any is known, and gain of a further one. */
const INITIAL_NOISE = 0.1;
const NOISE_GAIN = 1 / 64;
/** Ends of a worker from which its further ends tell the variance. */
const MIN_NOISE_WEIGHT = 3;

/** Spread of the speeds that are known well enough. */
export interface SpeedSpread {
  readonly isUneven: boolean;
  /** Smallest and largest known speed; 1 without any. */
  readonly slowest: number;
  readonly fastest: number;
  /** Known workers, and those slower or faster than 1 by at least 15 %. */
  readonly knownCount: number;
  readonly slowCount: number;
  readonly fastCount: number;
}

const SLOW_SPEED = 0.85;
const FAST_SPEED = 1.15;

/** Learned speeds by worker. */
export class WorkerSpeeds {
  private readonly workers = new Map<WorkerId, SpeedState>();
  private noise = INITIAL_NOISE;
  private knownSpread: SpeedSpread | undefined;

  /** Logarithm of the speed of a worker; 0 for one that is not known. */
  logOf({worker, bornAt}: WorkerIncarnation): number {
    const state = this.workers.get(worker);
    return state ? usedLog(stateOf(state, bornAt)) : 0;
  }

  /** Learns how much faster than its step a run has ended. */
  note({worker, bornAt}: WorkerIncarnation, sample: number, at: number): void {
    if (worker.length > MAX_ID_LENGTH) return;
    const known = this.workers.get(worker) ?? newState(bornAt);
    if (known.bornAt > bornAt) return;
    const state = stateOf(known, bornAt);
    const off = sample - usedLog(state);
    const isFarOff = Math.abs(off) > TAIL_LOG;
    const farOff = isFarOff ? state.farOff + 1 : 0;
    const gain = isFarOff && farOff < TAILS_OF_A_CHANGE ? TAIL_WEIGHT : 1;
    const age = Math.max(0, at - state.at) / HALF_LIFE_MS;
    const weight = state.weight * 2 ** -age + gain;
    const change = clamp(sample - state.log, -MAX_STEP_LOG, MAX_STEP_LOG);
    const log = state.log + (gain / weight) * change;
    const next = {
      bornAt: state.bornAt,
      log: toStored(clamp(log, -MAX_LOG_SPEED, MAX_LOG_SPEED)),
      weight: toStored(weight),
      at: Math.max(at, state.at),
      farOff,
    };
    setNewest(this.workers, worker, next, MAX_WORKERS);
    if (!isFarOff && state.weight >= MIN_NOISE_WEIGHT)
      this.noise = toStored(this.noise + NOISE_GAIN * (off ** 2 - this.noise));
    this.knownSpread = undefined;
  }

  /** Compares all speeds that are known well enough. */
  get spread(): SpeedSpread {
    return (this.knownSpread ??= this.computeSpread());
  }

  private computeSpread(): SpeedSpread {
    const logs: number[] = [];
    let surelyFast = Number.NEGATIVE_INFINITY;
    let surelySlow = Number.POSITIVE_INFINITY;
    for (const state of this.workers.values()) {
      if (state.weight < KNOWN_WEIGHT) continue;
      const log = usedLog(state);
      const margin = SIGNIFICANCE * Math.sqrt(this.noise / state.weight);
      logs.push(log);
      surelyFast = Math.max(surelyFast, log - margin);
      surelySlow = Math.min(surelySlow, log + margin);
    }
    const speeds = logs.map(log => Math.exp(log));
    return {
      isUneven: surelyFast - surelySlow >= MIN_SPREAD_LOG,
      slowest: speeds.length === 0 ? 1 : Math.min(...speeds),
      fastest: speeds.length === 0 ? 1 : Math.max(...speeds),
      knownCount: speeds.length,
      slowCount: speeds.filter(speed => speed <= SLOW_SPEED).length,
      fastCount: speeds.filter(speed => speed >= FAST_SPEED).length,
    };
  }

  toImage(): SpeedsImage {
    const workers = [...this.workers].map(
      ([worker, {bornAt, log, weight, at, farOff}]) =>
        [worker, bornAt, log, weight, at, farOff] as const,
    );
    return {workers, noise: this.noise};
  }

  restore({workers, noise}: SpeedsImage): void {
    this.clear();
    for (const [worker, bornAt, log, weight, at, farOff] of workers)
      this.workers.set(worker, {bornAt, log, weight, at, farOff});
    this.noise = noise;
  }

  clear(): void {
    this.workers.clear();
    this.noise = INITIAL_NOISE;
    this.knownSpread = undefined;
  }

  get size(): number {
    return this.workers.size;
  }
}

const newState = (bornAt: number): SpeedState => ({
  bornAt,
  log: 0,
  weight: 0,
  at: 0,
  farOff: 0,
});

/** The state of an incarnation, which takes over that of the one before. */
const stateOf = (state: SpeedState, bornAt: number): SpeedState =>
  state.bornAt === bornAt
    ? state
    : {
        ...state,
        bornAt,
        weight: Math.min(state.weight, MAX_INHERITED_WEIGHT),
        farOff: 0,
      };

const usedLog = ({log, weight}: SpeedState): number =>
  (log * weight) / (weight + PRIOR_WEIGHT);
