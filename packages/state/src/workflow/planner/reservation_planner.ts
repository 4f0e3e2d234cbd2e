/** Keeps room for steps that wait, and has runs of lower priority make room. */
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

/** Runs that rather give way than that a place far from the data is taken. */
const FAR_VICTIMS = 4;
/** Runs that rather give way than that a ticket is waited for. */
const TICKET_VICTIMS = 10;

/** A place that a task gets once some runs have given way. */
interface MadePlace {
  readonly worker: WorkerView;
  readonly victims: readonly Victim[];
  readonly hasTicket: boolean;
  /** What is given up for it, in runs that give way. */
  readonly cost: number;
}

/** What came of making places. */
export interface PreemptionResult {
  /** Whether all tasks will have a place. */
  readonly coversAllTasks: boolean;
  /** Workers whose tickets must be renewed first. */
  readonly ticketsToRenew: ReadonlySet<WorkerId>;
}

const NO_PLACES: PreemptionResult = {
  coversAllTasks: false,
  ticketsToRenew: new Set(),
};

/** Keeps and makes room during one pass. */
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
   * Keeps room for a gang that does not fit yet, so that later steps do not
   * take each part of it as it becomes free. Load pattern: wide gangs of high
   * worth beside a steady stream of small tasks of lower priority.
   * @returns false when even empty workers could not hold the gang.
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

  /** Workers on which the last pass kept room first, then those with most room. */
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
   * Stops runs of lower priority that save their progress where that makes
   * places, and keeps these. A gang gets all its places or none.
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
    // Nothing gives way before the whole gang could start.
    const mayStop = !spec.isGang || expired.length === 0;
    for (const place of places)
      this.keep(work, place, mayStop && place.hasTicket);
    return {
      coversAllTasks: isWhole,
      ticketsToRenew: new Set(expired.map(({worker}) => worker.worker)),
    };
  }

  /** Places for which least must give way; each that is taken changes its worker only. */
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
   * The place for which least must give way.
   * @param known - places on the candidates, null where there is none.
   * @returns its index, -1 when there is none.
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

  /** No more than what a place on a worker costs, told without a look at each run. */
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

/** Keeps room of a worker for a gang; what can give way may use it until then. */
const keepRoom = (
  worker: WorkerView,
  size: Resources,
  priority: number,
): void => {
  worker.free = subtractResources(worker.free, size);
  worker.kept = addResources(worker.kept, size);
  worker.keptPriority = Math.min(worker.keptPriority, priority);
};
