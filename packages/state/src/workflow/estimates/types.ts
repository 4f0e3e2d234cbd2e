/** Types of the learned run times and worker speeds. */
import type {QueueName} from '../../bundle/types.js';
import type {WorkerId} from '../../ids/types.js';
import type {StepSpec, WorkflowId} from '../types.js';

/** A counted run: its worker, incarnation and the logarithm of its time in ms. */
export type RunSample = readonly [
  worker: WorkerId,
  bornAt: number,
  logMs: number,
];

/** The counted runs of one step that have ended so far. */
export interface StepEvidence {
  readonly occurrence: number;
  readonly step: number;
  readonly count: number;
  /** Logarithm of the median time of its runs at speed 1, in ms. */
  readonly logWork: number;
  /** The runs, until the step is done. */
  readonly runs: readonly RunSample[];
}

/** A step whose time is estimated. */
export interface EstimatedStep {
  readonly queue: QueueName;
  readonly step: number;
  readonly spec: Pick<StepSpec, 'estimateMs' | 'image'>;
}

/**
 * What is used of the times of one kind of step; replaced only when the learned
 * values have moved noticeably, so that critical paths can be cached.
 */
export interface UsedDuration {
  /** Mean and variance of the logarithm of the time at speed 1, in ms. */
  readonly mean: number;
  readonly variance: number;
  /** Mean and variance of the logarithm of time over estimate. */
  readonly bias: number;
  readonly errorVariance: number;
}

/** Learned times of one kind of step. */
export interface DurationState {
  readonly count: number;
  readonly mean: number;
  readonly variance: number;
  readonly errorCount: number;
  readonly bias: number;
  readonly errorVariance: number;
  /** Aged sums of the times at speed 1 and of the estimates, in ms. */
  readonly workMs: number;
  readonly estimateMs: number;
  /** Absent while the estimates of the clients are used as they are. */
  readonly used?: UsedDuration;
}

/** Learned speed of one incarnation of a worker. */
export interface SpeedState {
  readonly bornAt: number;
  /** Logarithm of the speed, before it is drawn towards 1. */
  readonly log: number;
  /** Aged number of ends behind it. */
  readonly weight: number;
  /** Wall time of the latest end, in ms since 1970. */
  readonly at: number;
  /** Number of the latest ends in a row that were far off. */
  readonly farOff: number;
}

/** Learned speeds, as plain data. */
export interface SpeedsImage {
  /** Worker, incarnation, logarithm, weight, time and ends far off. */
  readonly workers: ReadonlyArray<
    readonly [WorkerId, number, number, number, number, number]
  >;
  /** Variance of the logarithm of single ends. */
  readonly noise: number;
}

/** Times of a kind of step, as plain data: its key, and its values in order. */
export type DurationImage = readonly [string, readonly number[]];

/** Everything that is learned, as plain data. */
export interface EstimatesImage {
  readonly durations: readonly DurationImage[];
  readonly speeds: SpeedsImage;
  readonly steps: ReadonlyArray<readonly [WorkflowId, readonly StepEvidence[]]>;
}
