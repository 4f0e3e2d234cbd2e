/** Chooses the worker for one task among those that may run it. */
import type {WorkerId} from '../../ids/types.js';
import {isPreemptible} from '../preemptible_runs.js';
import {NO_RESOURCES, fitsInto, subtractResources} from '../resources.js';
import type {StepKey} from '../types.js';
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

/** Scores workers during one pass. */
export class WorkerChoice {
  private readonly fitIn: (pool: string) => Fit;
  /** Steps for which the previous pass reserved resources, by worker. */
  private readonly reservedFor = new Map<WorkerId, StepKey>();

  constructor(
    private readonly input: PlanInput,
    private readonly speeds: SpeedScore,
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
    const {spec, queue, ready} = work;
    const size = taskResources(work);
    let best: WorkerView | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    const mayUseReserved = isPreemptible(spec);
    const fit = this.fitIn(queue.pool);
    for (const worker of candidates) {
      // Most workers are full; skips the sum for those without reservations.
      const free =
        mayUseReserved && worker.kept !== NO_RESOURCES
          ? usableResources(work, worker)
          : worker.free;
      if (!fitsInto(size, free)) continue;
      if (!isBelowPerWorkerLimit(work, worker)) continue;
      const score =
        fit(subtractResources(free, size), worker.room) +
        (isAwayFromData(spec, worker) ? REMOTE_DATA_PENALTY : 0) +
        (isOutsideRack(work, worker) ? SPREAD_PENALTY : 0) +
        (this.isReservedForOther(worker, ready) ? RESERVED_PENALTY : 0) +
        (queue.advice && !this.ticketFor(work, worker) ? TICKET_PENALTY : 0) +
        this.speeds.penaltyOf(work, worker);
      if (score >= bestScore) continue;
      best = worker;
      bestScore = score;
    }
    return best;
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
