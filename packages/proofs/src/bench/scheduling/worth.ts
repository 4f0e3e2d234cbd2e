/** Computes what workflows earn, by kind. */
import type {Arrival} from './load.js';
import type {WorkflowOutcome} from './types.js';

/** Upper limit of the factor by which a workflow's size scales its worth. */
const MAX_SIZE_FACTOR = 4;
/** Fraction of the worth that does not depend on the size. */
const FIXED_SHARE = 0.3;
/** Fraction of the worth that a late workflow still earns. */
const LATE_SHARE = 0.2;
/** Multiple of the objective up to which a late workflow still earns worth. */
const LATE_LIMIT_FACTOR = 3;
/** Workers of the one call for advice that the objective allows each step. */
const ALLOWED_ADVICE_WORKERS = 30;

/** Worth of the workflows of one kind. */
export interface Worth {
  owed: number;
  earned: number;
}

const cpuWorkOf = ({spec, durations}: Arrival): number =>
  durations.reduce(
    (sum, step, i) =>
      sum + step.reduce((s, ms) => s + ms * spec.steps[i]!.room.cpuMillis, 0),
    0,
  );

/**
 * Time in which a workflow earns its whole worth: the stretched chain of its
 * work, with one call for advice a step, and the objective of its kind.
 */
export const objectiveOf = ({kind, durations}: Arrival): number => {
  const {baseMs, perWorkerMs} = kind.advice;
  const adviceMs = baseMs + perWorkerMs * ALLOWED_ADVICE_WORKERS;
  const chainMs = durations.reduce(
    (sum, step) => sum + Math.max(...step) + adviceMs,
    0,
  );
  return kind.objectiveMs + kind.stretch * chainMs;
};

/** Time after which a workflow earns nothing, in ms. */
export const uselessAfterMs = (arrival: Arrival): number =>
  LATE_LIMIT_FACTOR * objectiveOf(arrival);

/** Fraction of its worth that an outcome earns. */
export const earnedShareOf = ({arrival, doneMs}: WorkflowOutcome): number => {
  if (doneMs === undefined || doneMs > uselessAfterMs(arrival)) return 0;
  return doneMs <= objectiveOf(arrival) ? 1 : LATE_SHARE;
};

/** Mean processor work of the workflows of each kind. */
const meanWorkByKind = (
  outcomes: readonly WorkflowOutcome[],
): Map<string, number> => {
  const sums = new Map<string, {sum: number; count: number}>();
  for (const {arrival} of outcomes) {
    const entry = sums.get(arrival.kind.name) ?? {sum: 0, count: 0};
    sums.set(arrival.kind.name, entry);
    entry.sum += cpuWorkOf(arrival);
    entry.count++;
  }
  return new Map(
    [...sums].map(([name, {sum, count}]) => [name, sum / count] as const),
  );
};

/** Sums the possible and the earned worth by kind of workflow. */
export const worthByKind = (
  outcomes: readonly WorkflowOutcome[],
): Map<string, Worth> => {
  const means = meanWorkByKind(outcomes);
  const byKind = new Map<string, Worth>();
  for (const outcome of outcomes) {
    const {arrival} = outcome;
    const {name, worth: mean} = arrival.kind;
    const size = cpuWorkOf(arrival) / means.get(name)!;
    const worth =
      mean * Math.min(MAX_SIZE_FACTOR, FIXED_SHARE + (1 - FIXED_SHARE) * size);
    const entry = byKind.get(name) ?? {owed: 0, earned: 0};
    byKind.set(name, entry);
    entry.owed += worth;
    entry.earned += worth * earnedShareOf(outcome);
  }
  return byKind;
};

/** Fraction of the possible worth that was earned. */
export const shareOf = ({owed, earned}: Worth): number =>
  earned / Math.max(1e-9, owed);

/** Sum of the worth of several kinds. */
export const totalOf = (worths: Iterable<Worth>): Worth => {
  const total = {owed: 0, earned: 0};
  for (const {owed, earned} of worths) {
    total.owed += owed;
    total.earned += earned;
  }
  return total;
};
