/** Order of the reports of one incarnation of a worker, which may overtake each other. */
import type {WorkerRegistration} from './types.js';

/**
 * The report to keep of two by the same incarnation: the later one, though
 * draining is final for an incarnation.
 */
export const latestReport = (
  known: WorkerRegistration,
  report: WorkerRegistration,
): WorkerRegistration => {
  if (report.sequence < known.sequence) return known;
  return {...report, isDraining: known.isDraining || report.isDraining};
};
