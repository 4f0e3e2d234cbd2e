/**
 * Chooses preemption victims. Load pattern: gangs of high value arrive at
 * workers that are full of small tasks of lower priority; these save a
 * checkpoint when they are stopped, and the gang would otherwise wait for one
 * after another to end.
 */
import type {Queue} from '../../bundle/types.js';
import type {WorkerId} from '../../ids/types.js';
import {taskRefOf} from '../refs.js';
import {
  NO_RESOURCES,
  addResources,
  fitsInto,
  subtractResources,
} from '../resources.js';
import type {Resources, TaskKey, TaskRef, PreemptibleRun} from '../types.js';
import {holderOf, type Holder} from './customer_holdings.js';
import type {QueueShares} from './queue_shares.js';
import type {PlanInput, WorkerView} from './types.js';

/** Slack that a workflow must keep after the preemption of a run, in ms. */
const MIN_SLACK_MS = 2000;

/**
 * A run that ends within this time is not preempted, in ms: a stop takes as
 * long.
 */
export const ENDING_SOON_MS = 900;

/**
 * Fractions of the pool by which customers count as equally far above their
 * shares when workers are compared. Smaller differences would have each pass
 * check the runs of far more workers.
 */
const SHARE_TOLERANCE = 0.05;
/** Highest cost that the shares of customers add, as a number of preempted runs. */
const MAX_SHARE_COST = 0.9;

/** A preemptible run. */
export interface Victim {
  readonly key: TaskKey;
  readonly task: TaskRef;
  readonly run: number;
  readonly room: Resources;
  readonly priority: number;
  /**
   * Whether its workflow would still be in time after a restart, or is late
   * already.
   */
  readonly isDelayTolerant: boolean;
  readonly queue: Queue | undefined;
  readonly holder: Holder;
  /** Fraction of the pool that its customer has beyond its share; 0 without customers. */
  readonly excess: number;
}

/** The step for which runs are preempted. */
export interface Preemptor {
  readonly priority: number;
  /**
   * Whether it will be late anyway; then only delay-tolerant runs are
   * preempted.
   */
  readonly isLate: boolean;
  /**
   * Whether it is within its queue's share; else runs within other queues'
   * shares are spared.
   */
  readonly isCounted?: boolean;
}

/** Resources that the preemptible runs of one queue hold on a worker. */
interface PreemptibleResources {
  readonly priority: number;
  readonly room: Resources;
}

/** Resources of one worker that preemption could free. */
interface WorkerVictims {
  /** Resources that ending, stopping and chosen runs will free. */
  becomingFree: Resources;
  /** Resources of all preemptible runs, with the priorities of their queues. */
  readonly yielding: readonly PreemptibleResources[];
  /**
   * Upper bound on the processor time that one of them holds, in thousandths of
   * a core.
   */
  readonly maxCpu: number;
  /**
   * Preemptible runs: the least urgent first, then those of the customer that
   * is furthest above its share, then delay-tolerant ones, then the largest.
   * Built on first use.
   */
  victims: readonly Victim[] | undefined;
}

const NO_KEYS: readonly TaskKey[] = [];

/** Preemptible runs by worker, and the resources that are becoming free. */
export class PreemptionVictims {
  private readonly byWorker = new Map<WorkerId, WorkerVictims>();
  /** Runs chosen as victims in this pass. */
  private readonly chosen = new Set<TaskKey>();
  /** Runs that were told to stop, by worker. */
  private stoppingBy: ReadonlyMap<WorkerId, readonly TaskKey[]> | undefined;

  constructor(
    private readonly input: Pick<
      PlanInput,
      'db' | 'pending' | 'stopping' | 'wall' | 'endsSoon'
    >,
    private readonly shares: QueueShares,
  ) {}

  /**
   * Finds the runs on a worker to preempt so that a task of some size fits,
   * given what is free there and what is becoming free.
   * @returns undefined if it would not fit even after all allowed preemptions.
   */
  findVictims(
    {worker, free}: WorkerView,
    size: Resources,
    {priority, isLate, isCounted = false}: Preemptor,
  ): Victim[] | undefined {
    const known = this.stateOf(worker);
    const {becomingFree} = known;
    if (fitsIntoSum(size, free, becomingFree)) return [];
    known.victims ??= this.victimsOn(worker);
    return this.choose(known.victims, size, addResources(free, becomingFree), {
      priority,
      isLate,
      isCounted,
    });
  }

  /**
   * Lower bound on the number of runs to preempt, found without checking each
   * run: most workers cannot free enough, or only at a higher cost.
   * @returns infinity if the size would not fit even after all preemptions.
   */
  minVictimCount(
    {worker, free}: WorkerView,
    size: Resources,
    {priority}: Preemptor,
  ): number {
    const {becomingFree, yielding, maxCpu} = this.stateOf(worker);
    if (fitsIntoSum(size, free, becomingFree)) return 0;
    if (!mayFit(size, free, becomingFree, yielding, priority))
      return Number.POSITIVE_INFINITY;
    const missing = size.cpuMillis - free.cpuMillis - becomingFree.cpuMillis;
    return Math.max(1, Math.ceil(missing / maxCpu));
  }

  private choose(
    victims: readonly Victim[],
    size: Resources,
    free: Resources,
    {priority, isLate, isCounted}: Preemptor,
  ): Victim[] | undefined {
    const chosen: Victim[] = [];
    let freed = free;
    for (const victim of victims) {
      // The remaining runs are at least as urgent as the preemptor.
      if (victim.priority <= priority) return undefined;
      if (isLate && !victim.isDelayTolerant) continue;
      if (this.chosen.has(victim.key)) continue;
      if (!isCounted && this.isWithinShare(victim)) continue;
      chosen.push(victim);
      freed = addResources(freed, victim.room);
      if (fitsInto(size, freed)) return chosen;
    }
    return undefined;
  }

  private isWithinShare({queue}: Victim): boolean {
    return queue !== undefined && this.shares.excessOf(queue.name) <= 0;
  }

  /**
   * Marks runs of a worker as chosen; their resources count as becoming free.
   */
  take(worker: WorkerId, victims: readonly Victim[]): void {
    const known = this.stateOf(worker);
    for (const {key, room, queue, holder} of victims) {
      this.chosen.add(key);
      if (queue) this.shares.adjustForPreemption(queue, room, true, holder);
      known.becomingFree = addResources(known.becomingFree, room);
    }
  }

  /**
   * Cost of taking from customers that are less far above their shares than the
   * furthest one, from 0 to MAX_SHARE_COST; 0 without customers.
   */
  shareCost(victims: readonly Victim[]): number {
    const {customers} = this.shares;
    let cost = 0;
    for (const {queue, excess} of victims)
      if (customers && queue)
        cost = Math.max(cost, customers.mostExcess(queue.pool) - excess);
    return cost < SHARE_TOLERANCE ? 0 : MAX_SHARE_COST * Math.min(1, cost);
  }

  /** Reverts `take` for runs of a worker. */
  release(worker: WorkerId, victims: readonly Victim[]): void {
    const known = this.stateOf(worker);
    for (const {key, room, queue, holder} of victims) {
      this.chosen.delete(key);
      if (queue) this.shares.adjustForPreemption(queue, room, false, holder);
      known.becomingFree = subtractResources(known.becomingFree, room);
    }
  }

  private stateOf(worker: WorkerId): WorkerVictims {
    const known = this.byWorker.get(worker);
    if (known) return known;
    const {db} = this.input;
    const state = db.workers.get(worker);
    const yielding: PreemptibleResources[] = [];
    for (const [queue, room] of state?.yieldingRoom ?? [])
      yielding.push({priority: db.queues.get(queue)?.priority ?? 0, room});
    const loaded = {
      becomingFree: this.becomingFreeOn(worker),
      yielding,
      maxCpu: state?.yieldingMaxCpu ?? 0,
      victims: undefined,
    };
    this.byWorker.set(worker, loaded);
    return loaded;
  }

  /** Resources of the runs of a worker that end soon or were told to stop. */
  private becomingFreeOn(worker: WorkerId): Resources {
    const {db} = this.input;
    const active = db.workers.get(worker)?.active;
    const ending = this.input.endsSoon(worker);
    let becomingFree = NO_RESOURCES;
    const add = (key: TaskKey): void => {
      const run = active?.get(key);
      if (run)
        becomingFree = addResources(becomingFree, db.resourcesOf(run.task));
    };
    for (const key of ending) add(key);
    for (const key of this.stoppingOn(worker)) if (!ending.has(key)) add(key);
    return becomingFree;
  }

  private stoppingOn(worker: WorkerId): readonly TaskKey[] {
    this.stoppingBy ??= stoppingByWorker(this.input);
    return this.stoppingBy.get(worker) ?? NO_KEYS;
  }

  private victimsOn(worker: WorkerId): Victim[] {
    const {db, pending} = this.input;
    const ending = this.input.endsSoon(worker);
    const stopping = this.stoppingOn(worker);
    const victims: Victim[] = [];
    for (const [key, run] of db.workers.get(worker)?.yielding ?? []) {
      if (run.workflow.phase !== 'open') continue;
      if (ending.size > 0 && ending.has(key)) continue;
      if (stopping.length > 0 && stopping.includes(key)) continue;
      if (pending.size > 0 && pending.has(key)) continue;
      victims.push(this.victimOf(key, run));
    }
    return victims.sort(
      (a, b) =>
        b.priority - a.priority ||
        b.excess - a.excess ||
        Number(b.isDelayTolerant) - Number(a.isDelayTolerant) ||
        b.room.cpuMillis - a.room.cpuMillis,
    );
  }

  private victimOf(key: TaskKey, yielding: PreemptibleRun): Victim {
    const {workflow, task, run, room} = yielding;
    const queue = this.input.db.queues.get(workflow.queue);
    const holder = holderOf(workflow);
    const {customers} = this.shares;
    const slackMs = queue ? slackOf(yielding, queue, this.input.wall) : 0;
    return {
      key,
      task,
      run,
      room,
      priority: queue?.priority ?? 0,
      queue,
      holder,
      excess: queue && customers ? customers.excessOf(queue.pool, holder) : 0,
      isDelayTolerant: slackMs < 0 || slackMs > MIN_SLACK_MS,
    };
  }
}

/**
 * Time to its due time that a workflow would have left if the run restarted
 * now, in ms.
 */
const slackOf = (
  {startDueAt, longestChainMs, chainMs}: PreemptibleRun,
  {objectiveMs, stretch}: Queue,
  wall: number,
): number =>
  startDueAt + objectiveMs + stretch * longestChainMs - wall - chainMs;

/** Whether a size fits into the sum of two amounts. */
const fitsIntoSum = (size: Resources, a: Resources, b: Resources): boolean =>
  size.cpuMillis <= a.cpuMillis + b.cpuMillis &&
  size.memMb <= a.memMb + b.memMb &&
  size.gpus <= a.gpus + b.gpus;

/** Whether a size could fit if all runs of lower priority were preempted. */
const mayFit = (
  size: Resources,
  free: Resources,
  becomingFree: Resources,
  yielding: readonly PreemptibleResources[],
  priority: number,
): boolean => {
  let cpuMillis = free.cpuMillis + becomingFree.cpuMillis;
  let memMb = free.memMb + becomingFree.memMb;
  let gpus = free.gpus + becomingFree.gpus;
  for (const {priority: own, room} of yielding) {
    if (own <= priority) continue;
    cpuMillis += room.cpuMillis;
    memMb += room.memMb;
    gpus += room.gpus;
  }
  return (
    size.cpuMillis <= cpuMillis && size.memMb <= memMb && size.gpus <= gpus
  );
};

/** Groups the runs that were told to stop by worker. */
const stoppingByWorker = ({
  db,
  stopping,
}: Pick<PlanInput, 'db' | 'stopping'>): Map<WorkerId, TaskKey[]> => {
  const byWorker = new Map<WorkerId, TaskKey[]>();
  for (const key of stopping)
    for (const {worker} of db.findTask(taskRefOf(key))?.active ?? []) {
      const keys = byWorker.get(worker);
      if (keys) keys.push(key);
      else byWorker.set(worker, [key]);
    }
  return byWorker;
};
