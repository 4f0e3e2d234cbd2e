import {reviverOf} from '../utils/image.js';
import type {Size} from '../documents/job.js';
import type {JobId, WorkerId} from '../ids/types.js';
import {addSizes, maxSizes, subtractSizes, ZERO_SIZE} from './sizes.js';
import type {AttemptKey, PlacementLimits, WorkerReport} from './types.js';
import {
  WorkerIndex,
  reviveWorkerIndex,
  type IndexedWorker,
} from './worker_index.js';

/** At most one in this many workers is set aside. */
const MIN_WORKERS_PER_SET_ASIDE = 3;
const MAX_SET_ASIDE_DOUBLINGS = 6;

/** Evidence that a worker is faulty. */
interface FailureEvidence {
  /** Jobs that failed here since the last success. */
  readonly failedJobs: Set<JobId>;
  /** Number of times the worker was set aside since its last success. */
  rounds: number;
  /** Time until which the worker gets no tasks. */
  until: number;
}

/** One worker and the reservations on it. */
export interface Worker extends IndexedWorker {
  readonly id: WorkerId;
  report: WorkerReport;
  /** Time of the last announcement. */
  reportedAt: number;
  readonly reserved: Map<AttemptKey, Size>;
  readonly evidence: FailureEvidence;
}

/** The workers of one zone. */
export class WorkerTable {
  private readonly workers = new Map<WorkerId, Worker>();
  private readonly index = new WorkerIndex<Worker>();

  constructor(private readonly limits: PlacementLimits) {}

  /** @returns a worker, or undefined. */
  getWorker(id: WorkerId): Worker | undefined {
    return this.workers.get(id);
  }

  /** All workers known. */
  listWorkers(): Worker[] {
    return [...this.workers.values()];
  }

  /**
   * Records an announcement.
   * @returns the worker, or undefined if a later announcement was recorded before.
   */
  addReport(report: WorkerReport, now: number): Worker | undefined {
    const known = this.workers.get(report.worker);
    if (known && report.seq <= known.report.seq) return undefined;
    const worker = known ?? newWorker(report);
    worker.report = report;
    worker.reportedAt = now;
    this.workers.set(worker.id, worker);
    this.reindex(worker, now);
    return worker;
  }

  /** Reserves capacity for an attempt; a second call changes the size. */
  reserve(worker: Worker, key: AttemptKey, size: Size, now: number): void {
    this.release(worker, key, now);
    worker.reserved.set(key, size);
    worker.free = subtractSizes(worker.free, size);
    this.reindex(worker, now);
  }

  /** Releases the reservation of an attempt. */
  release(worker: Worker, key: AttemptKey, now: number): void {
    const size = worker.reserved.get(key);
    if (!size) return;
    worker.reserved.delete(key);
    worker.free = addSizes(worker.free, size);
    this.reindex(worker, now);
  }

  /** Raises a reservation to the observed usage of the attempt. */
  raiseReservation(
    worker: Worker,
    key: AttemptKey,
    used: Size,
    now: number,
  ): void {
    const size = worker.reserved.get(key);
    if (!size) return;
    const raised = maxSizes(size, used);
    if (raised.cpuMillis > size.cpuMillis || raised.memoryMb > size.memoryMb)
      this.reserve(worker, key, raised, now);
  }

  /** Records a success, which clears the evidence against a worker. */
  addSuccess(worker: Worker, now: number): void {
    worker.evidence.failedJobs.clear();
    worker.evidence.rounds = 0;
    worker.evidence.until = 0;
    this.reindex(worker, now);
  }

  /**
   * Records a failure.
   * @returns the time until which the worker is now set aside, or undefined.
   */
  addFailure(worker: Worker, job: JobId, now: number): number | undefined {
    const {evidence} = worker;
    evidence.failedJobs.add(job);
    const requiredFailures =
      evidence.rounds > 0 ? 1 : this.limits.failuresToSetAside;
    if (evidence.failedJobs.size < requiredFailures || !this.maySetAside(now))
      return undefined;
    evidence.until =
      now +
      this.limits.setAsideMs *
        2 ** Math.min(evidence.rounds, MAX_SET_ASIDE_DOUBLINGS);
    evidence.rounds++;
    evidence.failedJobs.clear();
    this.reindex(worker, now);
    return evidence.until;
  }

  /**
   * Clears a job's failures from the evidence against workers, because the job
   * itself is at fault.
   */
  dropEvidence(job: JobId, now: number): void {
    for (const worker of this.workers.values()) {
      worker.evidence.failedJobs.delete(job);
      this.reindex(worker, now);
    }
  }

  /**
   * When many workers fail, the tasks are the likely cause, and the remaining
   * workers stay in use.
   */
  private maySetAside(now: number): boolean {
    const setAsideCount = this.listWorkers().filter(
      ({evidence}) => now < evidence.until,
    ).length;
    return (setAsideCount + 1) * MIN_WORKERS_PER_SET_ASIDE <= this.workers.size;
  }

  /** Removes a silent worker without reservations. */
  remove(worker: Worker): void {
    this.workers.delete(worker.id);
    this.index.remove(worker);
  }

  /**
   * Adds to or removes from the index the workers whose eligibility changed
   * with time.
   */
  refresh(now: number): void {
    for (const worker of this.workers.values()) this.reindex(worker, now);
  }

  /**
   * @returns a worker on which the task leaves the least capacity, or
   * undefined.
   */
  findBestFit(
    size: Size,
    isAllowed: (worker: Worker) => boolean,
  ): Worker | undefined {
    return this.index.findBestFit(size, isAllowed);
  }

  /** @returns a worker with the most free capacity, or undefined. */
  findWorstFit(
    size: Size,
    isAllowed: (worker: Worker) => boolean,
  ): Worker | undefined {
    return this.index.findWorstFit(size, isAllowed);
  }

  /** Whether a worker may get new tasks at present. */
  isSchedulable(worker: Worker, now: number): boolean {
    const {report, reportedAt, evidence} = worker;
    const isResponsive = now < reportedAt + this.limits.announceMs;
    const isProbing = evidence.rounds > 0 && worker.reserved.size > 0;
    return (
      report.state === 'serving' &&
      isResponsive &&
      now >= evidence.until &&
      !isProbing
    );
  }

  private reindex(worker: Worker, now: number): void {
    if (this.isSchedulable(worker, now)) this.index.put(worker);
    else this.index.remove(worker);
  }
}

const newWorker = (report: WorkerReport): Worker => ({
  id: report.worker,
  rack: report.rack,
  total: report.size,
  free: addSizes(report.size, ZERO_SIZE),
  report,
  reportedAt: 0,
  reserved: new Map(),
  evidence: {failedJobs: new Set(), rounds: 0, until: 0},
});

/** Restores a table from its deserialized state. */
export const reviveWorkerTable = reviverOf(WorkerTable.prototype, {
  index: reviveWorkerIndex,
});
