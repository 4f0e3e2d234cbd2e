/** Order of the reports of one incarnation of a worker, which may overtake each other. */
import type {WorkerId} from '../ids/types.js';
import {noPreemptibleRuns} from './preemptible_runs.js';
import {NO_RESOURCES, addResources, fitsInto} from './resources.js';
import type {Resources, WorkerRegistration, WorkerState} from './types.js';

/**
 * The report to keep of the known one and another by the same incarnation: the
 * later one, though draining and leaving are final for an incarnation. Its
 * address stays as long as runs may be active that were started there.
 */
export const latestReport = (
  {report: known, active}: Pick<WorkerState, 'report' | 'active'>,
  report: WorkerRegistration,
): WorkerRegistration => {
  const latest = report.sequence < known.sequence ? known : report;
  const isLeaving = known.isLeaving || report.isLeaving;
  return {
    ...latest,
    address: active.size > 0 ? known.address : latest.address,
    isDraining: known.isDraining || report.isDraining,
    ...(isLeaving ? {isLeaving} : {}),
  };
};

/** Keeps the report of a worker, which registers its incarnation if it is new. */
export const putWorker = (
  workers: Map<WorkerId, WorkerState>,
  report: WorkerRegistration,
): void => {
  const known = workers.get(report.worker);
  if (known && known.report.bornAt > report.bornAt) return;
  if (known?.report.bornAt === report.bornAt) {
    known.report = latestReport(known, report);
    return;
  }
  // A later start proves nothing about the runs of the earlier incarnation.
  if (known && known.active.size > 0) return;
  workers.set(report.worker, {
    report,
    endsRecorded: 0,
    active: new Map(),
    used: NO_RESOURCES,
    ...noPreemptibleRuns(),
  });
};

/** Rounding errors of sums and differences of sizes that are not whole numbers. */
const ROUNDING: Resources = {cpuMillis: 1e-3, memMb: 1e-3, gpus: 1e-3};

/**
 * Whether the recorded runs of a worker, those that are stopping too, fit into
 * the room that it reported last; true for one that is not registered.
 */
export const isWithinRoom = (state: WorkerState | undefined): boolean =>
  !state || fitsInto(state.used, addResources(state.report.room, ROUNDING));
