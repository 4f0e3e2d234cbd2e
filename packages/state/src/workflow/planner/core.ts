/**
 * Decides which tasks start on which workers. Steps within the guaranteed
 * shares of their queues are served first, then the others, both by priority
 * and due time; smaller steps may overtake one that does not fit.
 */
import {findEvacuations} from './evacuation.js';
import {findReadySteps} from './ready.js';
import {findStops} from './stops.js';
import {StepPlacer} from './placer.js';
import {QueueShares} from './queue_shares.js';
import type {Plan, PlanInput, ReadyStep} from './types.js';

/** Plans one pass over all waiting steps. */
export const plan = (input: PlanInput): Plan => {
  const waiting = findReadySteps(input.db, input.wall);
  if (waiting.length === 0) return withoutPlacing(input);
  const shares = new QueueShares(input);
  const ready = shares.orderByShare(waiting, input.db);
  const placer = new StepPlacer(input, shares);
  const {served, deferred} = divideByUrgency(ready, input.isUrgentOnly);
  for (const step of served) placer.place(step);
  for (const step of served) placer.placeCopies(step);
  for (const step of deferred) placer.defer(step);
  const {starts, advice, waits, preempted} = placer;
  const stops = [...findStops(input), ...findEvacuations(input), ...preempted];
  // What is kept for deferred steps stays kept until they are placed again.
  const reserved = deferred.length > 0 ? input.reserved : placer.reserved;
  return {starts, advice, waits, reserved, stops};
};

/** Divides steps into those that a pass places, and those left to a later one. */
const divideByUrgency = (
  ready: readonly ReadyStep[],
  isUrgentOnly: boolean,
): {
  readonly served: readonly ReadyStep[];
  readonly deferred: readonly ReadyStep[];
} => {
  if (!isUrgentOnly) return {served: ready, deferred: []};
  const priority = Math.min(...ready.map(step => step.priority));
  return {
    served: ready.filter(step => step.priority === priority),
    deferred: ready.filter(step => step.priority !== priority),
  };
};

/**
 * Plans a pass without waiting steps, the usual case, which needs no worker
 * views.
 */
const withoutPlacing = (input: PlanInput): Plan => ({
  starts: [],
  advice: [],
  waits: [],
  reserved: new Map(),
  stops: [...findStops(input), ...findEvacuations(input)],
});
