/**
 * Sets unhealthy workers aside based on the results of their runs. Load
 * pattern: a few workers fail, refuse or stall all their runs, become free at
 * once, and would drain the queue; jobs that can never succeed fail on healthy
 * workers too.
 */
import type {WorkerId} from '../../ids/types.js';
import type {RunOutcome, TaskState, WorkflowId} from '../types.js';

/** Observed result of a run on a worker. */
export type RunEvidence =
  | 'done'
  | 'failed'
  /** Failed, as before on another worker, so that the job may be at fault. */
  | 'failed_again'
  | 'refused'
  | 'stalled';

/** Thresholds for setting workers aside. */
export interface WorkerHealthOptions {
  /** Age at which evidence no longer counts, in ms. */
  readonly windowMs: number;
  /**
   * Minimum number of workflows that failed on a worker before it is set aside.
   */
  readonly minFailedWorkflows: number;
  /**
   * Minimum share of failures in a worker's evidence for it to be set aside.
   */
  readonly failedShare: number;
  /** Age up to which failures are one event about the worker, in ms. */
  readonly burstMs: number;
  /**
   * Minimum number of workflows that failed first on a worker, within a burst and
   * without a finished run, before it is set aside.
   */
  readonly minBurstWorkflows: number;
  /** How long a worker is set aside, in ms. */
  readonly setAsideMs: number;
  /** Maximum share of the workers that may be set aside at a time. */
  readonly maxSetAsideShare: number;
}

const DEFAULT_OPTIONS: WorkerHealthOptions = {
  windowMs: 6000,
  minFailedWorkflows: 3,
  failedShare: 0.6,
  burstMs: 1000,
  minBurstWorkflows: 2,
  setAsideMs: 3000,
  maxSetAsideShare: 1 / 3,
};

interface Evidence {
  readonly at: number;
  readonly workflow: WorkflowId;
  readonly kind: RunEvidence;
}

/** Health of the workers, judged by recent evidence. */
export class WorkerHealth {
  private readonly evidence = new Map<WorkerId, Evidence[]>();
  private readonly setAsideUntil = new Map<WorkerId, number>();
  private readonly options: WorkerHealthOptions;

  constructor(options: Partial<WorkerHealthOptions> = {}) {
    this.options = {...DEFAULT_OPTIONS, ...options};
  }

  /**
   * Records the result of a run.
   * @param now - monotonic time, in ms.
   * @returns whether this newly sets the worker aside.
   */
  record(
    worker: WorkerId,
    workflow: WorkflowId,
    kind: RunEvidence,
    now: number,
  ): boolean {
    const {windowMs, setAsideMs} = this.options;
    const recent = (this.evidence.get(worker) ?? []).filter(
      ({at}) => at > now - windowMs,
    );
    recent.push({at: now, workflow, kind});
    this.evidence.set(worker, recent);
    if (kind === 'done' || !this.isUnhealthy(recent, kind)) return false;
    const wasSetAside = this.isSetAside(worker, now);
    this.setAsideUntil.set(worker, now + setAsideMs);
    return !wasSetAside;
  }

  /** Whether a worker is set aside at a monotonic time in ms. */
  isSetAside(worker: WorkerId, now: number): boolean {
    return now < (this.setAsideUntil.get(worker) ?? Number.NEGATIVE_INFINITY);
  }

  /** Workers that get no new tasks, limited to the maximum share. */
  findSetAside(
    workers: readonly WorkerId[],
    now: number,
  ): ReadonlySet<WorkerId> {
    const maxCount = Math.floor(workers.length * this.options.maxSetAsideShare);
    const setAside = workers.filter(worker => this.isSetAside(worker, now));
    return new Set(setAside.slice(0, maxCount));
  }

  private isUnhealthy(recent: readonly Evidence[], kind: RunEvidence): boolean {
    // A refusal or a stall is the worker's fault; a failure may be the job's.
    if (kind === 'refused' || kind === 'stalled') return true;
    const {minFailedWorkflows, failedShare} = this.options;
    const failed = recent.filter(entry => isFailure(entry));
    return (
      this.isFailingBurst(recent) ||
      (countWorkflows(failed) >= minFailedWorkflows &&
        failed.length >= failedShare * recent.length)
    );
  }

  /**
   * Whether all of a worker's latest runs failed at about the same time, for jobs
   * that had not failed before.
   */
  private isFailingBurst(recent: readonly Evidence[]): boolean {
    const {burstMs, minBurstWorkflows} = this.options;
    const since = (recent.at(-1)?.at ?? 0) - burstMs;
    const burst = recent.filter(({at}) => at >= since);
    const first = burst.filter(({kind}) => kind === 'failed');
    return burst.every(isFailure) && countWorkflows(first) >= minBurstWorkflows;
  }
}

const isFailure = ({kind}: Evidence): boolean =>
  kind === 'failed' || kind === 'failed_again';

const countWorkflows = (evidence: readonly Evidence[]): number =>
  new Set(evidence.map(({workflow}) => workflow)).size;

/** What the end of a run tells of its worker; a task's state already counts it. */
export const evidenceOf = (
  outcome: RunOutcome,
  task: TaskState | undefined,
): RunEvidence | undefined => {
  if (outcome === 'done') return 'done';
  if (outcome !== 'failed') return undefined;
  return (task?.failures ?? 0) > 1 ? 'failed_again' : 'failed';
};
