/** Types of the learned disturbance between tasks on one worker. */
import type {Branded, WorkerId} from '../../ids/types.js';
import type {WorkflowId} from '../types.js';

/** What tasks run: their image, or without one their queue and step. */
export type TaskKind = Branded<string, 'TaskKind'>;

/** A time in which a kind ran on a worker, in ms since 1970. */
export type BusyTime = readonly [kind: TaskKind, from: number, until: number];

/** A kind that ran beside a run, and the fraction of the run's time. */
export type Neighbour = readonly [kind: TaskKind, fraction: number];

/** A counted run of a step that is not done yet. */
export interface ComparedRun {
  readonly worker: WorkerId;
  readonly bornAt: number;
  /** Wall times of its start and end, in ms since 1970. */
  readonly from: number;
  readonly until: number;
  readonly neighbours: readonly Neighbour[];
}

/** The counted runs of one step. */
export interface ComparedStep {
  readonly occurrence: number;
  readonly step: number;
  readonly runs: readonly ComparedRun[];
}

/** How much longer runs of one kind take beside another kind. */
export interface PairState {
  /** Mean and variance of the logarithm of the ratio of times. */
  readonly mean: number;
  readonly variance: number;
  /** Aged number of ends behind it, and of those that were surely slowed. */
  readonly weight: number;
  readonly slowed: number;
  /** Wall time of the latest end, in ms since 1970. */
  readonly at: number;
  /** Aged number of ends by worker, of the workers with most of them. */
  readonly workers: ReadonlyArray<readonly [WorkerId, number]>;
  /** Whether decisions use it. */
  readonly counts: boolean;
}

/** A pair as plain data: victim, neighbour and state. */
export type PairImage = readonly [TaskKind, TaskKind, PairState];

/** Everything that is learned, as plain data. */
export interface InterferenceImage {
  readonly pairs: readonly PairImage[];
  readonly busy: ReadonlyArray<readonly [WorkerId, readonly BusyTime[]]>;
  readonly steps: ReadonlyArray<readonly [WorkflowId, readonly ComparedStep[]]>;
}
