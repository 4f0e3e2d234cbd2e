/**
 * Chooses the workers for later attempts of tasks that have failed. Load
 * pattern: some workers fail everything that they start and become free at
 * once, so that they attract one attempt after the other, until a task that
 * could be done has none left.
 */
import type {WorkerId} from '../../ids/types.js';
import {NO_RESOURCES, addResources, fitsInto} from '../resources.js';
import type {FailedRun, Resources} from '../types.js';
import {taskResources, type StepWork} from './step_work.js';
import type {PlanInput, WorkerView} from './types.js';
import type {WorkerChoice} from './worker_choice.js';

/** Age up to which a run that ended as done proves that its worker is healthy, in ms. */
const PROOF_MS = 6000;
/**
 * Time after a failure for which the last attempt waits for a proven worker, in
 * ms; in a quiet pool few workers have finished a run of late.
 */
const LAST_ATTEMPT_WAIT_MS = 2000;
/**
 * Time after a failure from which on a task may return to a worker where it
 * failed, in ms, if no other one has room while the workers are mostly free;
 * runs of the other workers may never end. A faulty worker is set aside by then.
 */
const RETURN_AFTER_MS = 2500;
/** Fraction of the workers' resources from which on they count as mostly free. */
const MOSTLY_FREE = 0.5;
/** Failures of one task in a rack from which on the rack is avoided. */
const RACK_FAILURES = 2;

/** Chooses the workers for later attempts during one pass. */
export class AttemptWorkers {
  constructor(
    private readonly input: Pick<PlanInput, 'db' | 'wall' | 'mayAvoidFailed'>,
    private readonly choice: Pick<WorkerChoice, 'best'>,
  ) {}

  /**
   * Chooses a worker for the next attempt of a task: one with recent proof that it
   * finishes runs, else another one, unless the last attempt waits for such proof.
   */
  choose(
    work: StepWork,
    index: number,
    candidates: readonly WorkerView[],
  ): WorkerView | undefined {
    const {failedRuns} = work.state.tasks[index] ?? {};
    if (!failedRuns || !this.input.mayAvoidFailed)
      return this.choice.best(work, candidates);
    const others = withoutFailed(work, failedRuns, 1, candidates);
    const proven = others.filter(worker => this.isProven(worker));
    const chosen = this.choice.best(work, proven);
    if (chosen) return chosen;
    const mayWait = this.isWaiting(work, index) && canHold(work, 1, proven);
    if (mayWait) return undefined;
    const other = this.choice.best(work, others);
    if (other || !this.mayReturn(failedRuns, candidates)) return other;
    return this.choice.best(work, candidates);
  }

  /** Whether a task may wait for a proven worker, as it has one attempt left. */
  isWaiting(work: StepWork, index: number): boolean {
    const {failedRuns, failures = 0} = work.state.tasks[index] ?? {};
    if (!this.input.mayAvoidFailed) return false;
    const isLast = failures >= work.queue.maxAttempts - 1;
    return failedRuns !== undefined && isLast && this.mayWait(work, failedRuns);
  }

  /** Workers on which all members of a gang may start. */
  forGang(
    work: StepWork,
    memberCount: number,
    candidates: readonly WorkerView[],
  ): readonly WorkerView[] {
    if (work.state.gangFailures === 0 || !this.input.mayAvoidFailed)
      return candidates;
    const failedRuns = work.state.tasks.flatMap(task => task.failedRuns ?? []);
    const others = withoutFailed(work, failedRuns, memberCount, candidates);
    const proven = others.filter(worker => this.isProven(worker));
    const holdsNow = (workers: readonly WorkerView[]): boolean =>
      canHold(work, memberCount, workers, ({free}) => free);
    if (holdsNow(proven)) return proven;
    const mayWait = this.sinceFailure(failedRuns) < LAST_ATTEMPT_WAIT_MS;
    if (mayWait && canHold(work, memberCount, proven)) return proven;
    return !holdsNow(others) && this.mayReturn(failedRuns, candidates)
      ? candidates
      : others;
  }

  /** Whether a task may return to workers where it failed. */
  private mayReturn(
    failedRuns: readonly FailedRun[],
    candidates: readonly WorkerView[],
  ): boolean {
    return (
      this.sinceFailure(failedRuns) >= RETURN_AFTER_MS &&
      areMostlyFree(candidates)
    );
  }

  /** Time since the latest failure, in ms; the wall clock may have been set back. */
  private sinceFailure(failedRuns: readonly FailedRun[]): number {
    const failedAt = Math.max(...failedRuns.map(({at}) => at));
    return Math.abs(this.input.wall - failedAt);
  }

  private isProven({worker}: WorkerView): boolean {
    const doneAt = this.input.db.workers.get(worker)?.lastDoneAt;
    // The wall clocks of successive leaders may differ.
    return (
      doneAt !== undefined && Math.abs(this.input.wall - doneAt) < PROOF_MS
    );
  }

  /** Whether the last attempt may wait without exceeding the objective. */
  private mayWait(
    {ready}: StepWork,
    failedRuns: readonly FailedRun[],
  ): boolean {
    const isInTime = this.input.wall < ready.dueAt;
    return isInTime && this.sinceFailure(failedRuns) < LAST_ATTEMPT_WAIT_MS;
  }
}

/**
 * The workers where a task has not failed and that are in no rack where it failed
 * repeatedly; restrictions that leave too few workers are dropped.
 */
const withoutFailed = (
  work: StepWork,
  failedRuns: readonly FailedRun[],
  taskCount: number,
  candidates: readonly WorkerView[],
): readonly WorkerView[] => {
  const failed = new Set<WorkerId>(failedRuns.map(({worker}) => worker));
  const others = candidates.filter(({worker}) => !failed.has(worker));
  if (!canHold(work, taskCount, others)) return candidates;
  const racks = racksToAvoid(failedRuns);
  if (racks.size === 0) return others;
  const elsewhere = others.filter(
    ({rack}) => rack === undefined || !racks.has(rack),
  );
  return canHold(work, taskCount, elsewhere) ? elsewhere : others;
};

const racksToAvoid = (failedRuns: readonly FailedRun[]): Set<string> => {
  const counts = new Map<string, number>();
  for (const {rack} of failedRuns)
    if (rack !== undefined) counts.set(rack, (counts.get(rack) ?? 0) + 1);
  return new Set(
    [...counts].flatMap(([rack, n]) => (n >= RACK_FAILURES ? [rack] : [])),
  );
};

const areMostlyFree = (workers: readonly WorkerView[]): boolean => {
  let free = NO_RESOURCES;
  let whole = NO_RESOURCES;
  for (const worker of workers) {
    free = addResources(free, worker.free);
    whole = addResources(whole, worker.room);
  }
  return (
    free.cpuMillis >= MOSTLY_FREE * whole.cpuMillis &&
    free.memMb >= MOSTLY_FREE * whole.memMb
  );
};

/**
 * Whether workers have room for a number of tasks of a step; by default while
 * they are empty.
 */
export const canHold = (
  work: StepWork,
  taskCount: number,
  workers: readonly WorkerView[],
  roomOf: (worker: WorkerView) => Resources = ({room}) => room,
): boolean => {
  const size = taskResources(work);
  const limit = work.spec.maxPerWorker || taskCount;
  let held = 0;
  for (const worker of workers) {
    const room = roomOf(worker);
    if (!fitsInto(size, room)) continue;
    const byCpu = size.cpuMillis ? room.cpuMillis / size.cpuMillis : limit;
    const byMemory = size.memMb ? room.memMb / size.memMb : limit;
    const byGpus = size.gpus ? room.gpus / size.gpus : limit;
    held += Math.min(limit, Math.floor(Math.min(byCpu, byMemory, byGpus)));
    if (held >= taskCount) return true;
  }
  return false;
};
