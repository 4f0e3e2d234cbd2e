/** Finds what holds a step back that does not start as a whole. */
import type {WorkerId} from '../../ids/types.js';
import {taskResources, type StepWork} from '../planner/step_work.js';
import type {PlannedWait} from '../planner/types.js';
import {assertNever} from '../../utils/assert_never.js';
import type {Resources} from '../types.js';
import {DIMENSIONS, type TurnReport} from './step_report.js';
import type {Binding, CustomerAnswer, RuledOut} from './types.js';

/** What is known of a pass beside its waits. */
export interface BindingContext {
  readonly turn: TurnReport;
  /** Free resources at the start of the pass. */
  readonly freeAtStart: ReadonlyMap<WorkerId, Resources>;
  readonly customer?: CustomerAnswer;
}

/** Number of tasks of a size for which a resource is free; infinity if they need none. */
const countIn = (
  size: Resources,
  free: Resources,
  dimension: keyof Resources,
): number =>
  size[dimension] === 0
    ? Number.POSITIVE_INFINITY
    : Math.max(0, Math.floor(free[dimension] / size[dimension]));

const countAll = (size: Resources, free: Resources): number =>
  Math.min(...DIMENSIONS.map(dimension => countIn(size, free, dimension)));

/** Number of tasks of a step that workers hold within its limit per worker. */
const countFitting = (
  work: StepWork,
  workers: Iterable<WorkerId>,
  free: ReadonlyMap<WorkerId, Resources>,
): number => {
  const size = taskResources(work);
  const limit = work.spec.maxPerWorker || work.spec.taskCount;
  let count = 0;
  for (const worker of workers) {
    const room = free.get(worker);
    if (room) count += Math.min(limit, countAll(size, room));
  }
  return count;
};

/** The resource that runs out first on some workers, or the limit per worker. */
const scarcest = ({work, free}: TurnReport): Binding => {
  const size = taskResources(work);
  const {maxPerWorker, taskCount} = work.spec;
  const counts = new Map(DIMENSIONS.map(dimension => [dimension, 0]));
  let byLimit = 0;
  for (const room of free.values()) {
    byLimit += maxPerWorker || taskCount;
    for (const dimension of DIMENSIONS)
      counts.set(
        dimension,
        counts.get(dimension)! + countIn(size, room, dimension),
      );
  }
  const [dimension, count] = [...counts].reduce((least, other) =>
    other[1] < least[1] ? other : least,
  );
  if (maxPerWorker > 0 && byLimit < Math.min(count, taskCount))
    return {kind: 'per_worker'};
  return {kind: 'room', dimension};
};

/** What a reason for a ruled-out worker says of the step if most are ruled out by it. */
const bindingOf = (reason: RuledOut): Binding | undefined => {
  switch (reason.why) {
    case 'wrong_pool':
    case 'label':
    case 'draining':
    case 'not_usable':
      return undefined;
    case 'room':
    case 'too_small':
      return {kind: reason.why, dimension: reason.dimension};
    case 'reserved':
    case 'per_worker':
      return {kind: reason.why};
    case 'adviser_not_asked':
    case 'adviser_not_allowing':
      return {kind: 'advice'};
    case 'kept_for_suspect':
      return {kind: 'quarantine'};
    default:
      return assertNever(reason);
  }
};

/** What holds back a step for which no worker has resources. */
const bindingForRoom = ({
  turn,
  freeAtStart,
  customer,
}: BindingContext): Binding => {
  const {work, free, candidateCount, ruledOut} = turn;
  const atStart = countFitting(work, free.keys(), freeAtStart);
  const now = countFitting(work, free.keys(), free);
  const needed = work.spec.isGang ? work.spec.taskCount : 1;
  if (atStart > now && atStart >= needed) {
    const isAboveShare = customer && customer.share >= customer.fairShare;
    return {kind: isAboveShare ? 'share' : 'order'};
  }
  if (candidateCount > 0) return scarcest(turn);
  for (const group of ruledOut) {
    const binding = bindingOf(group);
    if (binding) return binding;
  }
  return {kind: 'no_worker'};
};

/** What holds back the tasks of a step that wait. */
export const findBinding = (
  wait: PlannedWait,
  context: BindingContext,
): Binding => {
  switch (wait.why) {
    case 'cap':
      return {kind: 'cap', ...(wait.cap && {cap: wait.cap})};
    case 'advice':
    case 'advice_turn':
    case 'tickets':
      return {kind: 'advice'};
    case 'quarantine':
      return {kind: 'quarantine'};
    case 'room':
    case 'attempt':
    case 'never_fits_now':
      return bindingForRoom(context);
    default:
      return assertNever(wait.why);
  }
};
