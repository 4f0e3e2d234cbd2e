/**
 * What customers hold of each pool during one pass, against their weighted
 * shares. Load pattern: the customers' total demand is more than the pool has.
 */
import type {CustomerName} from '../../ids/types.js';
import type {WorkflowDb} from '../db.js';
import {
  NO_RESOURCES,
  addResources,
  dominantShare,
  subtractResources,
} from '../resources.js';
import type {Resources, WorkflowState} from '../types.js';
import type {PlanInput} from './types.js';
import {unrecordedTasks} from './unrecorded_tasks.js';

/** Whoever holds resources: a customer, or all work without one. */
export type Holder = CustomerName | '';

/** The holder to which a workflow counts. */
export const holderOf = ({customer}: Pick<WorkflowState, 'customer'>): Holder =>
  customer ?? '';

/** Weight of all work where no customer has a positive one. */
const NEUTRAL_WEIGHT = 1;

/** One pool. */
interface PoolHoldings {
  /** Resources of the usable workers. */
  whole: Resources;
  /** Resources that are in use on all workers. */
  used: Resources;
  readonly held: Map<Holder, Resources>;
  /** Sum of the weights of all that hold or want resources. */
  activeWeight: number;
  readonly active: Set<Holder>;
  /** Computed once it is asked for. */
  mostExcess?: number;
}

type HoldingsInput = Pick<PlanInput, 'db' | 'workers' | 'pending' | 'mayRun'>;

/** Holdings by pool, from the running totals of the state. */
export class CustomerHoldings {
  private readonly pools = new Map<string, PoolHoldings>();
  /** Weight of a customer with weight 0, and of work without a customer. */
  private readonly leastWeight: number;

  constructor(private readonly input: HoldingsInput) {
    const {db, workers} = input;
    const weights = [...db.customers.values()].map(({weight}) => weight);
    const positive = weights.filter(weight => weight > 0);
    this.leastWeight =
      positive.length > 0 ? Math.min(...positive) : NEUTRAL_WEIGHT;
    for (const {pool, room, free, isUsable} of workers.values()) {
      const known = this.poolOf(pool);
      if (isUsable) known.whole = addResources(known.whole, room);
      known.used = addResources(known.used, subtractResources(room, free));
    }
    this.addRecorded(db);
    for (const {workflow, spec} of unrecordedTasks(input))
      if (!spec.usesLeftover)
        this.addHeld(this.poolNameOf(workflow), holderOf(workflow), spec.room);
    for (const pool of this.pools.values()) addUnattributed(pool);
    for (const [name, {held}] of this.pools)
      for (const holder of held.keys()) this.noteActive(name, holder);
  }

  /** Counts a holder among those that share a pool. */
  noteActive(pool: string, holder: Holder): void {
    const known = this.poolOf(pool);
    if (known.active.has(holder)) return;
    known.active.add(holder);
    known.activeWeight += this.weightOf(holder);
  }

  /** Resources of a pool that a holder has. */
  heldBy(pool: string, holder: Holder): Resources {
    return this.poolOf(pool).held.get(holder) ?? NO_RESOURCES;
  }

  /** Largest fraction of a pool that an amount takes, of all kinds. */
  dominantShareOf(pool: string, amount: Resources): number {
    return dominantShare(amount, this.poolOf(pool).whole);
  }

  /** Fraction of a pool that is the weighted share of a holder. */
  fairShareOf(pool: string, holder: Holder): number {
    const {activeWeight} = this.poolOf(pool);
    return activeWeight === 0 ? 0 : this.weightOf(holder) / activeWeight;
  }

  /** Fraction of a pool that a holder has beyond its share; negative below it. */
  excessOf(pool: string, holder: Holder): number {
    return (
      this.dominantShareOf(pool, this.heldBy(pool, holder)) -
      this.fairShareOf(pool, holder)
    );
  }

  /** Largest excess of any holder in a pool when first asked for in the pass. */
  mostExcess(pool: string): number {
    const known = this.poolOf(pool);
    known.mostExcess ??= Math.max(
      0,
      ...[...known.held.keys()].map(holder => this.excessOf(pool, holder)),
    );
    return known.mostExcess;
  }

  /** Updates a holding when a run is chosen as a victim, or released again. */
  adjust(
    pool: string,
    holder: Holder,
    room: Resources,
    isPreempted: boolean,
  ): void {
    const change = isPreempted ? subtractResources : addResources;
    const {held} = this.poolOf(pool);
    held.set(holder, change(held.get(holder) ?? NO_RESOURCES, room));
  }

  /** Weight of a holder; positive. */
  weightOf(holder: Holder): number {
    const weight = this.customerOf(holder)?.weight ?? 0;
    return weight > 0 ? weight : this.leastWeight;
  }

  /** Decides between equal shares; lower goes first. */
  priorityOf(holder: Holder): number {
    return this.customerOf(holder)?.priority ?? Number.POSITIVE_INFINITY;
  }

  private customerOf(holder: Holder) {
    return holder === '' ? undefined : this.input.db.customers.get(holder);
  }

  private addRecorded({usage, queues}: WorkflowDb): void {
    for (const [customer, {heldByQueue}] of usage.entries())
      for (const [queue, room] of heldByQueue)
        this.addHeld(queues.get(queue)?.pool ?? '', customer, room);
  }

  private addHeld(pool: string, holder: Holder, room: Resources): void {
    const {held} = this.poolOf(pool);
    held.set(holder, addResources(held.get(holder) ?? NO_RESOURCES, room));
  }

  private poolNameOf({queue}: WorkflowState): string {
    return this.input.db.queues.get(queue)?.pool ?? '';
  }

  private poolOf(name: string): PoolHoldings {
    const known = this.pools.get(name);
    if (known) return known;
    const made: PoolHoldings = {
      whole: NO_RESOURCES,
      used: NO_RESOURCES,
      held: new Map(),
      activeWeight: 0,
      active: new Set(),
    };
    this.pools.set(name, made);
    return made;
  }
}

/** Counts what no customer holds as held by the work without one. */
const addUnattributed = ({used, held}: PoolHoldings): void => {
  let rest = used;
  for (const room of held.values()) rest = subtractResources(rest, room);
  const room = {
    cpuMillis: Math.max(0, rest.cpuMillis),
    memMb: Math.max(0, rest.memMb),
    gpus: Math.max(0, rest.gpus),
  };
  if (room.cpuMillis + room.memMb + room.gpus > 0) held.set('', room);
};
