/**
 * Decides which tasks start on which workers. Steps within the guaranteed
 * shares of their queues are served first, then the others, both by priority
 * and due time; smaller steps may overtake one that does not fit.
 */
import {CustomerCaps} from './customer_caps.js';
import {orderByCustomer} from './customer_shares.js';
import {findEvacuations} from './evacuation.js';
import {findReadySteps} from './ready.js';
import {findStops} from './stops.js';
import {StepPlacer} from './placer.js';
import {QueueShares} from './queue_shares.js';
import type {Plan, PlanInput} from './types.js';
import {splitUseless} from './useless_work.js';
import {orderByZone} from './zone_turns.js';

/** Plans one pass over all waiting steps. */
export const plan = (input: PlanInput): Plan => {
  const waiting = findReadySteps(input.db, input.wall);
  if (waiting.length === 0) return withoutPlacing(input);
  const shares = new QueueShares(input);
  const {useful, useless} = splitUseless(waiting, input);
  const inTurn = orderByCustomer(useful, input, shares.customers);
  const byZone = input.mayShareZones ? orderByZone(inTurn, input) : inTurn;
  const ready = [...shares.orderByShare(byZone, input.db), ...useless];
  const placer = new StepPlacer(input, shares, new CustomerCaps(input));
  for (const step of ready) placer.place(step);
  for (const step of ready) placer.placeCopies(step);
  const {starts, advice, waits, reserved, preempted, preemptedAt} = placer;
  const stops = [...findStops(input), ...findEvacuations(input), ...preempted];
  return {starts, advice, waits, reserved, preemptedAt, stops};
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
  preemptedAt: new Map(),
  stops: [...findStops(input), ...findEvacuations(input)],
});
