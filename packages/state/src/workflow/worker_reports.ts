/** Order of the reports of one incarnation of a worker, which may overtake each other. */
import {addResources, fitsInto} from './resources.js';
import type {Resources, WorkerRegistration, WorkerState} from './types.js';

/**
 * The report to keep of two by the same incarnation: the later one, though
 * draining is final for an incarnation.
 */
export const latestReport = (
  known: WorkerRegistration,
  report: WorkerRegistration,
): WorkerRegistration => {
  const isDraining = known.isDraining || report.isDraining;
  const latest = report.sequence < known.sequence ? known : report;
  return {...latest, isDraining};
};

/** Rounding errors of sums and differences of sizes that are not whole numbers. */
const ROUNDING: Resources = {cpuMillis: 1e-3, memMb: 1e-3, gpus: 1e-3};

/**
 * Whether the recorded runs of a worker, those that are stopping too, fit into
 * the room that it reported last; true for one that is not registered.
 */
export const isWithinRoom = (state: WorkerState | undefined): boolean =>
  !state || fitsInto(state.used, addResources(state.report.room, ROUNDING));
