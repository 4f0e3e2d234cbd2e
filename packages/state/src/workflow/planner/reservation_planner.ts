/**
 * Reserves resources for waiting steps, and preempts runs of lower priority for
 * them.
 */
import type {WorkerId} from '../../ids/types.js';
import {addResources, fitsInto, subtractResources} from '../resources.js';
import type {Resources, StepKey} from '../types.js';
import {PreemptionVictims, type Victim} from './preemption.js';
import type {QueueShares} from './queue_shares.js';
import {
  findTicket,
  releaseResources,
  isBelowPerWorkerLimit,
  isAwayFromData,
  taskResources,
  claimResources,
  type StepWork,
} from './step_work.js';
import type {PlanInput, PlannedStop, WorkerView} from './types.js';

/** Cost of a worker away from the data, as a number of preempted runs. */
const FAR_VICTIMS = 4;
/** Cost of waiting for a ticket, as a number of preempted runs. */
const TICKET_VICTIMS = 10;

/** A worker that has resources for a task once the victims have stopped. */
interface MadePlace {
  readonly worker: WorkerView;
  readonly victims: readonly Victim[];
  readonly hasTicket: boolean;
  /** Cost, in units of one preempted run. */
  readonly cost: number;
}

/** Result of the search for preemption victims. */
export interface PreemptionResult {
  /** Whether all tasks will have resources. */
  readonly coversAllTasks: boolean;
  /** Workers whose tickets must be renewed first. */
  readonly ticketsToRenew: ReadonlySet<WorkerId>;
}

const NO_PLACES: PreemptionResult = {
  coversAllTasks: false,
  ticketsToRenew: new Set(),
};

/** Reserves resources and chooses preemption victims during one pass. */
export class ReservationPlanner {
  readonly reserved = new Map<StepKey, Set<WorkerId>>();
  readonly preempted: PlannedStop[] = [];
  private readonly victims: PreemptionVictims;

  constructor(
    private readonly input: PlanInput,
    shares: QueueShares,
  ) {
    this.victims = new PreemptionVictims(input, shares);
  }

  /**
   * Reserves resources for a gang that does not fit yet, so that later steps do
   * not claim them piece by piece as they become free. Load pattern: wide gangs
   * of high value beside a steady stream of small tasks of lower priority.
   * @returns false if the gang would not fit even on empty workers.
   */
  reserve(
    work: StepWork,
    taskCount: number,
    candidates: readonly WorkerView[],
  ): boolean {
    const {spec, ready} = work;
    const size = taskResources(work);
    const reserved: WorkerView[] = [];
    for (const worker of this.byRank(work, candidates)) {
      let count = 0;
      const bound = spec.maxPerWorker || taskCount;
      while (reserved.length < taskCount && count < bound) {
        if (!fitsInto(size, worker.unreserved)) break;
        worker.unreserved = subtractResources(worker.unreserved, size);
        reserved.push(worker);
        count++;
      }
    }
    const isPossible = reserved.length === taskCount;
    for (const worker of reserved) {
      if (isPossible) keepRoom(worker, size, ready.priority);
      else worker.unreserved = addResources(worker.unreserved, size);
    }
    if (isPossible)
      this.reserved.set(ready.key, new Set(reserved.map(({worker}) => worker)));
    return isPossible;
  }

  /**
   * Workers on which the previous pass reserved for the step first, then by
   * free processor time.
   */
  private byRank(
    {ready}: StepWork,
    candidates: readonly WorkerView[],
  ): WorkerView[] {
    const before = this.input.reserved.get(ready.key);
    const rank = ({worker}: WorkerView): number =>
      before?.has(worker) ? 0 : 1;
    return [...candidates].sort(
      (a, b) => rank(a) - rank(b) || b.free.cpuMillis - a.free.cpuMillis,
    );
  }

  /**
   * Preempts runs of lower priority that save checkpoints where that lets tasks
   * fit, and reserves the resources. For a gang, all tasks must fit or nothing
   * is preempted.
   */
  preempt(
    work: StepWork,
    taskCount: number,
    candidates: readonly WorkerView[],
  ): PreemptionResult {
    const {spec} = work;
    if (spec.usesLeftover) return NO_PLACES;
    const places = this.findPlaces(work, taskCount, candidates);
    const isWhole = places.length === taskCount;
    if (spec.isGang && !isWhole) {
      for (const place of places) this.giveBack(work, place);
      return NO_PLACES;
    }
    const expired = places.filter(({hasTicket}) => !hasTicket);
    // Nothing is preempted before the whole gang could start.
    const mayStop = !spec.isGang || expired.length === 0;
    for (const place of places)
      this.keep(work, place, mayStop && place.hasTicket);
    return {
      coversAllTasks: isWhole,
      ticketsToRenew: new Set(expired.map(({worker}) => worker.worker)),
    };
  }

  /**
   * Cheapest workers, one for each task; a choice changes the cost of its own
   * worker only.
   */
  private findPlaces(
    work: StepWork,
    taskCount: number,
    candidates: readonly WorkerView[],
  ): MadePlace[] {
    const places: MadePlace[] = [];
    const known = new Array<MadePlace | null | undefined>(candidates.length);
    while (places.length < taskCount) {
      const at = this.findCheapest(work, candidates, known);
      const place = known[at];
      if (!place) break;
      claimResources(work, place.worker);
      this.victims.take(place.worker.worker, place.victims);
      places.push(place);
      known[at] = undefined;
    }
    return places;
  }

  /**
   * Finds the candidate with the least cost.
   * @param known - options by candidate, computed on demand; null for none.
   * @returns its index, or -1 if there is none.
   */
  private findCheapest(
    work: StepWork,
    candidates: readonly WorkerView[],
    known: Array<MadePlace | null | undefined>,
  ): number {
    let best = -1;
    let bestCost = Number.POSITIVE_INFINITY;
    for (let at = 0; at < candidates.length; at++) {
      const worker = candidates[at]!;
      let place = known[at];
      if (place === undefined) {
        if (this.leastCost(work, worker) >= bestCost) continue;
        place = this.placeOn(work, worker);
        known[at] = place;
      }
      if (!place || place.cost >= bestCost) continue;
      best = at;
      bestCost = place.cost;
      if (bestCost === 0) break;
    }
    return best;
  }

  /** Lower bound on the cost of a worker, found without checking each run. */
  private leastCost(work: StepWork, worker: WorkerView): number {
    const least = this.victims.minVictimCount(
      worker,
      taskResources(work),
      work.ready,
    );
    return least + (isAwayFromData(work.spec, worker) ? FAR_VICTIMS : 0);
  }

  private placeOn(work: StepWork, worker: WorkerView): MadePlace | null {
    const {ready, queue, spec} = work;
    if (!isBelowPerWorkerLimit(work, worker)) return null;
    const victims = this.victims.findVictims(
      worker,
      taskResources(work),
      ready,
    );
    if (!victims) return null;
    const hasTicket =
      !queue.advice || findTicket(work, worker, this.input.now) !== undefined;
    const cost =
      victims.length +
      (isAwayFromData(spec, worker) ? FAR_VICTIMS : 0) +
      (hasTicket ? 0 : TICKET_VICTIMS);
    return {worker, victims, hasTicket, cost};
  }

  private giveBack(work: StepWork, {worker, victims}: MadePlace): void {
    releaseResources(work, worker);
    this.victims.release(worker.worker, victims);
  }

  private keep(
    work: StepWork,
    {worker, victims}: MadePlace,
    mayStop: boolean,
  ): void {
    const {key} = work.ready;
    const kept = this.reserved.get(key) ?? new Set<WorkerId>();
    this.reserved.set(key, kept.add(worker.worker));
    worker.unreserved = subtractResources(
      worker.unreserved,
      taskResources(work),
    );
    if (!mayStop) return;
    for (const {task, run} of victims)
      this.preempted.push({
        task,
        run,
        worker: worker.worker,
        bornAt: worker.bornAt,
        why: 'preempted',
        inFavourOf: key,
      });
  }
}

/**
 * Reserves resources of a worker for a gang; preemptible tasks may use them
 * meanwhile.
 */
const keepRoom = (
  worker: WorkerView,
  size: Resources,
  priority: number,
): void => {
  worker.free = subtractResources(worker.free, size);
  worker.kept = addResources(worker.kept, size);
  worker.keptPriority = Math.min(worker.keptPriority, priority);
};
