/**
 * Decides which tasks start where. Steps are served by priority, then by due
 * time; a step that does not fit lets smaller ones pass.
 */
import {findReadySteps} from './ready.js';
import {findStops} from './stops.js';
import {StepPlacer} from './placer.js';
import type {AdviceWish, Plan, PlanInput, PlannedStart} from './types.js';

/** Decides one pass over everything that waits. */
export const plan = (input: PlanInput): Plan => {
  const starts: PlannedStart[] = [];
  const advice: AdviceWish[] = [];
  const placer = new StepPlacer(input, starts, advice);
  for (const step of findReadySteps(input.db, input.wall)) placer.place(step);
  return {starts, advice, stops: findStops(input)};
};
