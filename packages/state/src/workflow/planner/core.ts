/**
 * Decides which tasks start where. Steps are served by priority, then by due
 * time; a step that does not fit lets smaller ones pass.
 */
import {findEvacuations} from './evacuation.js';
import {findReadySteps} from './ready.js';
import {findStops} from './stops.js';
import {StepPlacer} from './placer.js';
import type {Plan, PlanInput} from './types.js';

/** Decides one pass over everything that waits. */
export const plan = (input: PlanInput): Plan => {
  const ready = findReadySteps(input.db, input.wall);
  if (ready.length === 0) return withoutPlacing(input);
  const placer = new StepPlacer(input);
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
