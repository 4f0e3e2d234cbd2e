/**
 * Sets workers aside on evidence. Load pattern: a few workers fail, refuse or
 * stall all that they are given, become free at once, and would swallow the
 * queue; jobs that can never be done fail on sound workers too.
 */
import type {WorkerId} from '../../ids/types.js';
import type {WorkflowId} from '../types.js';

/** What a worker did with a run. */
export type RunEvidence = 'done' | 'failed' | 'refused' | 'stalled';

/** Options of the judgement. */
export interface WorkerHealthOptions {
  /** Age at which evidence no longer counts, in ms. */
  readonly windowMs: number;
  /** Workflows that must have failed on a worker before it is set aside. */
  readonly minFailedWorkflows: number;
  /** Share of failures among a worker's ends from which it is set aside. */
  readonly failedShare: number;
  /** How long a worker is set aside, in ms. */
  readonly setAsideMs: number;
  /** Largest share of the workers that may be set aside. */
  readonly maxSetAsideShare: number;
}

const DEFAULT_OPTIONS: WorkerHealthOptions = {
  windowMs: 6000,
  minFailedWorkflows: 3,
  failedShare: 0.6,
  setAsideMs: 3000,
  maxSetAsideShare: 1 / 3,
};

interface Evidence {
  readonly at: number;
  readonly workflow: WorkflowId;
  readonly kind: RunEvidence;
}

/** What is known of the workers' health. */
export class WorkerHealth {
  private readonly evidence = new Map<WorkerId, Evidence[]>();
  private readonly asideUntil = new Map<WorkerId, number>();
  private readonly options: WorkerHealthOptions;

  constructor(options: Partial<WorkerHealthOptions> = {}) {
    this.options = {...DEFAULT_OPTIONS, ...options};
  }

  /**
   * Notes what a worker did with a run.
   * @param now - monotonic time, in ms.
   * @returns whether the worker is set aside because of it.
   */
  record(
    worker: WorkerId,
    workflow: WorkflowId,
    kind: RunEvidence,
    now: number,
  ): boolean {
    const {windowMs, setAsideMs: asideMs} = this.options;
    const recent = (this.evidence.get(worker) ?? []).filter(
      ({at}) => at > now - windowMs,
    );
    recent.push({at: now, workflow, kind});
    this.evidence.set(worker, recent);
    if (kind === 'done' || !this.isBad(recent, kind)) return false;
    const wasAside = this.isSetAside(worker, now);
    this.asideUntil.set(worker, now + asideMs);
    return !wasAside;
  }

  /** Whether a worker gets no new task at present. */
  isSetAside(worker: WorkerId, now: number): boolean {
    return now < (this.asideUntil.get(worker) ?? Number.NEGATIVE_INFINITY);
  }

  /** Workers that get no new task, as many as may be set aside at once. */
  findSetAside(
    workers: readonly WorkerId[],
    now: number,
  ): ReadonlySet<WorkerId> {
    const most = Math.floor(workers.length * this.options.maxSetAsideShare);
    const aside = workers.filter(worker => this.isSetAside(worker, now));
    return new Set(aside.slice(0, most));
  }

  private isBad(recent: readonly Evidence[], kind: RunEvidence): boolean {
    // A refusal or a stall speaks for itself; a failure may be the job's own.
    if (kind === 'refused' || kind === 'stalled') return true;
    const {minFailedWorkflows, failedShare} = this.options;
    const failed = recent.filter(entry => entry.kind === 'failed');
    const workflows = new Set(failed.map(({workflow}) => workflow));
    return (
      workflows.size >= minFailedWorkflows &&
      failed.length >= failedShare * recent.length
    );
  }
}
