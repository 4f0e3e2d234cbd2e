/**
 * Decides which tasks start where. What queues can count on is served
 * first, then the rest, both by priority and due time; a step that does not fit
 * lets smaller ones pass.
 */
import {findEvacuations} from './evacuation.js';
import {findReadySteps} from './ready.js';
import {findStops} from './stops.js';
import {StepPlacer} from './placer.js';
import {QueueShares} from './queue_shares.js';
import type {Plan, PlanInput} from './types.js';

/** Decides one pass over everything that waits. */
export const plan = (input: PlanInput): Plan => {
  const waiting = findReadySteps(input.db, input.wall);
  if (waiting.length === 0) return withoutPlacing(input);
  const shares = new QueueShares(input);
  const ready = shares.orderByShare(waiting, input.db);
  const placer = new StepPlacer(input, shares);
  for (const step of ready) placer.place(step);
  for (const step of ready) placer.placeCopies(step);
  const {starts, advice, waits, reserved, preempted} = placer;
  const stops = [...findStops(input), ...findEvacuations(input), ...preempted];
  return {starts, advice, waits, reserved, stops};
};

/** Most passes find nothing that waits; they need no view of the workers. */
const withoutPlacing = (input: PlanInput): Plan => ({
  starts: [],
  advice: [],
  waits: [],
  reserved: new Map(),
  stops: [...findStops(input), ...findEvacuations(input)],
});
