/**
 * Finds stragglers: runs worth a speculative copy on another worker. Load
 * pattern: a few workers that are many times slower than the others, so that
 * one task delays the end of its step while other workers have free resources.
 */
import type {WorkerId} from '../../ids/types.js';
import {taskKeyIn} from '../refs.js';
import type {StepSpec} from '../types.js';
import {withExpected} from './expected_times.js';
import type {StepWork} from './step_work.js';
import type {PlanInput} from './types.js';

/**
 * A copy is started if the run needs over this multiple of a new run's expected
 * time.
 */
const COPY_FACTOR = 2;

/** A run that delays its step. */
export interface Straggler {
  readonly index: number;
  readonly worker: WorkerId;
}

/**
 * Whether a step's tasks may have copies; members of a gang are never copied.
 */
export const canCopy = ({
  isSpeculative,
  isGang,
  isLongRunning,
}: StepSpec): boolean => isSpeculative && !isGang && !isLongRunning;

/**
 * Runs without a copy whose remaining time exceeds COPY_FACTOR times that of a
 * new run. The expected time of a new run is the larger of the estimate and the
 * median remaining time of the step's other runs.
 */
export const findStragglers = (
  {ready, spec, state}: Pick<StepWork, 'ready' | 'spec' | 'state'>,
  {pending, remainingMs}: Pick<PlanInput, 'pending' | 'remainingMs'>,
): Straggler[] => {
  if (!canCopy(spec)) return [];
  const runs = state.tasks.flatMap(({isDone, active}, index) => {
    const [run, copy] = active;
    const key = taskKeyIn(ready.key, index);
    if (isDone || !run || copy || pending.has(key)) return [];
    const leftMs = remainingMs(run.worker, key);
    return leftMs === undefined ? [] : [{index, worker: run.worker, leftMs}];
  });
  return runs.filter(({index, leftMs}) => {
    const others = runs.filter(other => other.index !== index);
    const newMs = Math.max(
      spec.estimateMs,
      medianOf(others.map(other => other.leftMs)),
    );
    return newMs > 0 && leftMs > COPY_FACTOR * newMs;
  });
};

/** Stragglers by the expected time of a step in place of its estimate. */
export const findExpectedStragglers = (
  work: StepWork,
  input: PlanInput,
): Straggler[] => findStragglers(withExpected(work, input), input);

const medianOf = (values: readonly number[]): number =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
