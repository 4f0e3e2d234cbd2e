/** Chooses the worker for one task among those that may run it. */
import type {WorkerId} from '../../ids/types.js';
import {isPreemptible} from '../preemptible_runs.js';
import {NO_RESOURCES, fitsInto, subtractResources} from '../resources.js';
import type {Resources, StepKey} from '../types.js';
import type {InterferenceScore} from './interference_score.js';
import type {SpeedScore} from './speed_score.js';
import {
  findTicket,
  isAwayFromData,
  isBelowPerWorkerLimit,
  isOutsideRack,
  taskResources,
  usableResources,
  type StepWork,
} from './step_work.js';
import type {PlanInput, ReadyStep, Ticket, WorkerView} from './types.js';
import {fitsByPool, type Fit} from './worker_fit.js';

/** Penalty of a worker away from the data; 1 equals a whole free worker. */
const REMOTE_DATA_PENALTY = 1;
/** Penalty of a worker outside the home rack of the step. */
const SPREAD_PENALTY = 1;
/**
 * Penalty of a worker with resources reserved for another step, such as a gang
 * of lower priority.
 */
const RESERVED_PENALTY = 1.5;
/** Penalty of a worker whose ticket must be renewed first. */
const TICKET_PENALTY = 2;

/** What the scores of all workers for one step have in common. */
interface ScoreTerms {
  readonly size: Resources;
  readonly mayUseReserved: boolean;
  readonly fit: Fit;
}

/** Scores workers during one pass. */
export class WorkerChoice {
  private readonly fitIn: (pool: string) => Fit;
  /** Steps for which the previous pass reserved resources, by worker. */
  private readonly reservedFor = new Map<WorkerId, StepKey>();

  constructor(
    private readonly input: PlanInput,
    private readonly speeds: SpeedScore,
    private readonly interference: InterferenceScore,
  ) {
    this.fitIn = fitsByPool(input);
    for (const [step, workers] of input.reserved)
      for (const worker of workers) this.reservedFor.set(worker, step);
  }

  /** The first worker that a task fits on. */
  first(
    work: StepWork,
    candidates: readonly WorkerView[],
  ): WorkerView | undefined {
    for (const worker of candidates) {
      const chosen = this.best(work, [worker]);
      if (chosen) return chosen;
    }
    return undefined;
  }

  /**
   * Best fit: the worker with the lowest score, which is the fraction of it
   * that the task leaves free, plus penalties.
   */
  best(
    work: StepWork,
    candidates: readonly WorkerView[],
  ): WorkerView | undefined {
    let best: WorkerView | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    const terms = this.termsOf(work);
    for (const worker of candidates) {
      const score = this.scoreOf(work, worker, terms);
      if (score === undefined || score >= bestScore) continue;
      best = worker;
      bestScore = score;
    }
    return best;
  }

  /** Score of a worker; undefined if a task of the step does not fit there now. */
  scoreOf(
    work: StepWork,
    worker: WorkerView,
    {size, mayUseReserved, fit} = this.termsOf(work),
  ): number | undefined {
    const {spec, queue, ready} = work;
    // Most workers are full; skips the sum for those without reservations.
    const free =
      mayUseReserved && worker.kept !== NO_RESOURCES
        ? usableResources(work, worker)
        : worker.free;
    if (!fitsInto(size, free)) return undefined;
    if (!isBelowPerWorkerLimit(work, worker)) return undefined;
    return (
      fit(subtractResources(free, size), worker.room) +
      (isAwayFromData(spec, worker) ? REMOTE_DATA_PENALTY : 0) +
      (isOutsideRack(work, worker) ? SPREAD_PENALTY : 0) +
      (this.isReservedForOther(worker, ready) ? RESERVED_PENALTY : 0) +
      (queue.advice && !this.ticketFor(work, worker) ? TICKET_PENALTY : 0) +
      this.speeds.penaltyOf(work, worker) +
      this.interference.penaltyOf(work, worker)
    );
  }

  private termsOf(work: StepWork): ScoreTerms {
    return {
      size: taskResources(work),
      mayUseReserved: isPreemptible(work.spec),
      fit: this.fitIn(work.queue.pool),
    };
  }

  /**
   * Whether the previous pass reserved resources on a worker for another step.
   */
  private isReservedForOther({worker}: WorkerView, {key}: ReadyStep): boolean {
    const reservedStep = this.reservedFor.get(worker);
    return reservedStep !== undefined && reservedStep !== key;
  }

  /** The valid ticket of a step for a worker. */
  ticketFor(work: StepWork, worker: WorkerView): Ticket | undefined {
    return findTicket(work, worker, this.input.now);
  }
}
