/**
 * The part of a worker's score that depends on its speed. Load pattern: workers
 * of one size whose speeds differ by a factor of two, so that work with a close
 * due time is late on some and early on others.
 */
import {addResources, fitsInto, NO_RESOURCES} from '../resources.js';
import type {StepKey} from '../types.js';
import type {CandidateWorkers} from './candidate_workers.js';
import {expectedChains, expectedMsOf} from './expected_times.js';
import {
  isBelowPerWorkerLimit,
  taskResources,
  usableResources,
  type StepWork,
} from './step_work.js';
import type {PlanInput, StartExpectation, WorkerView} from './types.js';

/**
 * Penalty for a worker slower than another by a factor of e, for work of full
 * tightness; below those for data, racks, reservations and tickets, which each
 * cost more than a slow worker does.
 */
const SPEED_WEIGHT = 0.8;
/**
 * Ratio of the time left to the expected time at which work is neither tight
 * nor has slack.
 */
const NEUTRAL_RATIO = 3.5;
/** Lean of work that is late on any worker, and of gangs that gain nothing. */
const SLACK_LEAN = -0.5;

/** Scores workers by speed, for one pass. */
export class SpeedScore {
  /** Whether speeds are known to differ; otherwise nothing is scored. */
  private readonly isUneven: boolean;
  /** From -1, best on a slow worker, to 1, best on a fast one, by step. */
  private readonly leans = new Map<StepKey, number>();

  constructor(
    private readonly input: PlanInput,
    private readonly candidates: CandidateWorkers,
  ) {
    this.isUneven = input.db.estimates.speeds.spread.isUneven;
  }

  /** Penalty of a worker, negative for one that suits; 0 while speeds are even. */
  penaltyOf(work: StepWork, worker: WorkerView): number {
    if (!this.isUneven) return 0;
    const log = this.input.db.estimates.speeds.logOf(worker);
    return -SPEED_WEIGHT * this.leanOf(work) * log;
  }

  /** What a start on a worker is expected to take; empty if nothing is learned. */
  expectationOf(
    {ready, workflow}: StepWork,
    worker: WorkerView,
  ): {readonly expected?: StartExpectation} {
    const {db} = this.input;
    if (!this.isUneven && db.estimates.durations.usedCount === 0) return {};
    const {occurrence, step} = ready.ref;
    const speed = this.isUneven ? db.estimates.speedOf(worker) : 1;
    const ms = expectedMsOf(db, workflow, occurrence, step) / speed;
    return {expected: {ms: Math.round(ms), speed}};
  }

  private leanOf(work: StepWork): number {
    const known = this.leans.get(work.ready.key);
    if (known !== undefined) return known;
    const lean = work.spec.isGang
      ? this.leanOfGang(work)
      : this.leanByTime(work);
    this.leans.set(work.ready.key, lean);
    return lean;
  }

  /**
   * A gang is as fast as its slowest worker: it gets fast workers only if all
   * its members fit on such.
   */
  private leanOfGang(work: StepWork): number {
    const {speeds} = this.input.db.estimates;
    const fast = this.candidates
      .of(work)
      .filter(worker => speeds.logOf(worker) > 0);
    const isTight = this.leanByTime(work) > 0;
    const fits = isTight && hasRoomFor(work, fast, work.spec.taskCount);
    return fits ? 1 : SLACK_LEAN;
  }

  private leanByTime({ready, workflow, spec}: StepWork): number {
    if (spec.isLongRunning || spec.usesLeftover) return SLACK_LEAN;
    const {db, wall} = this.input;
    const {occurrence, step} = ready.ref;
    const chains = expectedChains(db, workflow, occurrence);
    const ratio = (ready.dueAt - wall) / Math.max(1, chains.fromMs[step] ?? 0);
    if (ratio * db.estimates.speeds.spread.fastest < 1) return SLACK_LEAN;
    return Math.max(-1, (NEUTRAL_RATIO - ratio) / NEUTRAL_RATIO);
  }
}

const hasRoomFor = (
  work: StepWork,
  workers: readonly WorkerView[],
  memberCount: number,
): boolean => {
  const size = taskResources(work);
  let count = 0;
  for (const worker of workers) {
    if (!isBelowPerWorkerLimit(work, worker)) continue;
    const free = usableResources(work, worker);
    const limit = work.spec.maxPerWorker || memberCount;
    let used = addResources(NO_RESOURCES, size);
    for (let i = 0; i < limit && fitsInto(used, free); i++) {
      count++;
      used = addResources(used, size);
    }
    if (count >= memberCount) return true;
  }
  return false;
};
