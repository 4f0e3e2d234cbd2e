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
const REMOTE_DATA_COST = 4;
/** Cost of waiting for a ticket, as a number of preempted runs. */
const TICKET_RENEWAL_COST = 10;

/**
 * Time for which the resources that were freed for a gang are held for it alone,
 * in ms: its victims stop, their ends are recorded, and its starts are planned.
 */
const PREEMPTION_HOLD_MS = 1500;

/** A worker that has resources for a task once the victims have stopped. */
interface PreemptionOption {
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
  /** Number of tasks that will have resources. */
  readonly taskCount: number;
  /** Workers that the tasks will have resources on. */
  readonly chosen: ReadonlySet<WorkerId>;
  /** Those of them whose tickets must be renewed first. */
  readonly lapsed: ReadonlySet<WorkerId>;
}

const NO_PREEMPTION: PreemptionResult = {
  coversAllTasks: false,
  taskCount: 0,
  chosen: new Set(),
  lapsed: new Set(),
};

/** Reserves resources and chooses preemption victims during one pass. */
export class ReservationPlanner {
  readonly reserved = new Map<StepKey, Set<WorkerId>>();
  readonly preempted: PlannedStop[] = [];
  /** When runs were last preempted for each gang, a moment ago at most. */
  readonly preemptedAt: Map<StepKey, number>;
  private readonly victims: PreemptionVictims;

  constructor(
    private readonly input: PlanInput,
    shares: QueueShares,
  ) {
    this.victims = new PreemptionVictims(input, shares);
    const {now, preemptedAt} = input;
    this.preemptedAt = new Map(
      [...preemptedAt].filter(([, at]) => now < at + PREEMPTION_HOLD_MS),
    );
  }

  /**
   * Reserves resources for a gang that does not fit yet, so that later steps do
   * not claim them piece by piece as they become free; for one that has just
   * preempted, not even tasks that would give way to it again. Load pattern: wide gangs
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
    const isHeld = this.preemptedAt.has(ready.key);
    for (const worker of reserved) {
      if (isPossible && isHeld) holdResources(worker, size);
      else if (isPossible) reserveResources(worker, size, ready.priority);
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
   * is preempted, and one that has just preempted waits for its victims first.
   */
  preempt(
    work: StepWork,
    taskCount: number,
    candidates: readonly WorkerView[],
  ): PreemptionResult {
    const {spec} = work;
    if (spec.usesLeftover) return NO_PREEMPTION;
    if (this.preemptedAt.has(work.ready.key)) return NO_PREEMPTION;
    const options = this.chooseOptions(work, taskCount, candidates);
    const coversAllTasks = options.length === taskCount;
    if (spec.isGang && !coversAllTasks) {
      for (const option of options) this.release(work, option);
      return NO_PREEMPTION;
    }
    const expired = options.filter(({hasTicket}) => !hasTicket);
    // Nothing is preempted before the whole gang could start.
    const mayPreempt = !spec.isGang || expired.length === 0;
    for (const option of options)
      this.keep(work, option, mayPreempt && option.hasTicket);
    return {
      coversAllTasks,
      taskCount: options.length,
      chosen: workersOf(options),
      lapsed: workersOf(expired),
    };
  }

  /**
   * Cheapest workers, one for each task; a choice changes the cost of its own
   * worker only.
   */
  private chooseOptions(
    work: StepWork,
    taskCount: number,
    candidates: readonly WorkerView[],
  ): PreemptionOption[] {
    const options: PreemptionOption[] = [];
    const known = new Array<PreemptionOption | null | undefined>(
      candidates.length,
    );
    while (options.length < taskCount) {
      const i = this.findCheapest(work, candidates, known);
      const option = known[i];
      if (!option) break;
      claimResources(work, option.worker);
      this.victims.take(option.worker.worker, option.victims);
      options.push(option);
      known[i] = undefined;
    }
    return options;
  }

  /**
   * Finds the candidate with the least cost.
   * @param known - options by candidate, computed on demand; null for none.
   * @returns its index, or -1 if there is none.
   */
  private findCheapest(
    work: StepWork,
    candidates: readonly WorkerView[],
    known: Array<PreemptionOption | null | undefined>,
  ): number {
    let best = -1;
    let bestCost = Number.POSITIVE_INFINITY;
    for (let i = 0; i < candidates.length; i++) {
      const worker = candidates[i]!;
      let option = known[i];
      if (option === undefined) {
        if (this.minCost(work, worker) >= bestCost) continue;
        option = this.optionOn(work, worker);
        known[i] = option;
      }
      if (!option || option.cost >= bestCost) continue;
      best = i;
      bestCost = option.cost;
      if (bestCost === 0) break;
    }
    return best;
  }

  /** Lower bound on the cost of a worker, found without checking each run. */
  private minCost(work: StepWork, worker: WorkerView): number {
    const count = this.victims.minVictimCount(
      worker,
      taskResources(work),
      work.ready,
    );
    return count + (isAwayFromData(work.spec, worker) ? REMOTE_DATA_COST : 0);
  }

  private optionOn(
    work: StepWork,
    worker: WorkerView,
  ): PreemptionOption | null {
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
      this.victims.shareCost(victims) +
      (isAwayFromData(spec, worker) ? REMOTE_DATA_COST : 0) +
      (hasTicket ? 0 : TICKET_RENEWAL_COST);
    return {worker, victims, hasTicket, cost};
  }

  private release(work: StepWork, {worker, victims}: PreemptionOption): void {
    releaseResources(work, worker);
    this.victims.release(worker.worker, victims);
  }

  private keep(
    work: StepWork,
    {worker, victims}: PreemptionOption,
    mayPreempt: boolean,
  ): void {
    const {key} = work.ready;
    const kept = this.reserved.get(key) ?? new Set<WorkerId>();
    this.reserved.set(key, kept.add(worker.worker));
    worker.unreserved = subtractResources(
      worker.unreserved,
      taskResources(work),
    );
    if (!mayPreempt || victims.length === 0) return;
    if (work.spec.isGang) this.preemptedAt.set(key, this.input.now);
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

const workersOf = (options: readonly PreemptionOption[]): Set<WorkerId> =>
  new Set(options.map(({worker}) => worker.worker));

/**
 * Reserves resources of a worker for a gang; preemptible tasks may use them
 * meanwhile.
 */
const reserveResources = (
  worker: WorkerView,
  size: Resources,
  priority: number,
): void => {
  worker.free = subtractResources(worker.free, size);
  worker.kept = addResources(worker.kept, size);
  worker.keptPriority = Math.min(worker.keptPriority, priority);
};

/** Holds resources of a worker for a gang alone. */
const holdResources = (worker: WorkerView, size: Resources): void => {
  worker.free = subtractResources(worker.free, size);
};
