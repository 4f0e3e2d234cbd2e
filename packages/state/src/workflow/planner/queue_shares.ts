/**
 * Divides adviser call slots and resources between queues through the order of
 * service. Load pattern: gangs of high priority permanently wait for more
 * resources than exist; without shares, queues of lower priority would get no
 * advice and have their runs preempted.
 */
import type {Queue, QueueName} from '../../bundle/types.js';
import type {WorkflowDb} from '../db.js';
import {addResources, NO_RESOURCES} from '../resources.js';
import type {Resources, StepState} from '../types.js';
import {CustomerHoldings, type Holder} from './customer_holdings.js';
import type {PlanInput, ReadyStep} from './types.js';

/**
 * Fraction of a pool that is guaranteed to its queues in equal parts; the rest
 * goes by priority.
 */
const GUARANTEED_SHARE = 0.5;

/** Use of a pool by one queue, as fractions of the pool. */
interface QueueHolding {
  readonly share: number;
  /** Fraction that its runs hold. */
  held: number;
  /**
   * Fraction that its waiting steps need, of those counted toward its share.
   */
  wanted: number;
}

/** Held resources and guaranteed share of each queue in one pass. */
export class QueueShares {
  private readonly holdings = new Map<QueueName, QueueHolding>();
  private readonly poolResources = new Map<string, Resources>();
  /** Holdings of customers; absent in a bundle without customers. */
  readonly customers?: CustomerHoldings;

  constructor(input: Pick<PlanInput, 'db' | 'workers' | 'pending' | 'mayRun'>) {
    const {db, workers} = input;
    if (db.customers.size > 0) this.customers = new CustomerHoldings(input);
    for (const {pool, room, isUsable} of workers.values())
      if (isUsable)
        this.poolResources.set(
          pool,
          addResources(this.poolResources.get(pool) ?? NO_RESOURCES, room),
        );
    this.addQueues(db);
    this.addHeldResources(db);
  }

  /**
   * Moves steps within the guaranteed shares of their queues to the front;
   * keeps the order otherwise.
   */
  orderByShare(ready: readonly ReadyStep[], db: WorkflowDb): ReadyStep[] {
    const first: ReadyStep[] = [];
    const others: ReadyStep[] = [];
    for (const step of ready) {
      const isCounted = this.countTowardShare(step, db);
      (isCounted ? first : others).push({...step, isCounted});
    }
    return [...first, ...others];
  }

  /**
   * Fraction of the pool that a queue holds beyond its share; negative below
   * it.
   */
  excessOf(queue: QueueName): number {
    const holding = this.holdings.get(queue);
    return holding ? holding.held - holding.share : Number.POSITIVE_INFINITY;
  }

  /**
   * Updates the holdings of a queue and a customer when a run is chosen as a victim, or
   * released again.
   */
  adjustForPreemption(
    {name, pool}: Queue,
    room: Resources,
    isPreempted: boolean,
    holder: Holder,
  ): void {
    this.customers?.adjust(pool, holder, room, isPreempted);
    const holding = this.holdings.get(name);
    if (!holding) return;
    const fraction = this.dominantShareOf(pool, room);
    holding.held += isPreempted ? -fraction : fraction;
  }

  /**
   * Counts a step toward the share of its queue.
   * @returns false if that is exhausted.
   */
  private countTowardShare({ref}: ReadyStep, db: WorkflowDb): boolean {
    const workflow = db.open.get(ref.workflow);
    const queue = workflow && db.queues.get(workflow.queue);
    const holding = queue && this.holdings.get(queue.name);
    const spec = workflow?.spec.steps[ref.step];
    if (!holding || !spec) return false;
    if (holding.held + holding.wanted >= holding.share) return false;
    const state = db.stepsOf(workflow, ref.occurrence)[ref.step];
    holding.wanted +=
      (state?.idleCount ?? 0) * this.dominantShareOf(queue.pool, spec.room);
    return true;
  }

  /** Gives all queues with open workflows equal shares of their pool. */
  private addQueues({open, queues}: WorkflowDb): void {
    const names = new Set([...open.values()].map(({queue}) => queue));
    const counts = new Map<string, number>();
    const poolOf = (name: QueueName) => queues.get(name)?.pool ?? '';
    for (const name of names)
      counts.set(poolOf(name), (counts.get(poolOf(name)) ?? 0) + 1);
    for (const name of names)
      this.holdings.set(name, {
        share: GUARANTEED_SHARE / (counts.get(poolOf(name)) ?? 1),
        held: 0,
        wanted: 0,
      });
  }

  private addHeldResources({open, queues}: WorkflowDb): void {
    for (const {activeRuns, queue: name, spec, occurrences} of open.values()) {
      const holding = this.holdings.get(name);
      const queue = queues.get(name);
      if (activeRuns === 0 || !holding || !queue) continue;
      for (const steps of occurrences.values())
        steps.forEach((state, index) => {
          const step = spec.steps[index];
          const count = runningCount(state);
          if (!step || step.usesLeftover || count === 0) return;
          holding.held += count * this.dominantShareOf(queue.pool, step.room);
        });
    }
  }

  /**
   * Dominant share: largest fraction of a pool that some resources take, of all
   * kinds.
   */
  private dominantShareOf(pool: string, room: Resources): number {
    const whole = this.poolResources.get(pool);
    if (!whole) return 0;
    return Math.max(
      room.cpuMillis / Math.max(1, whole.cpuMillis),
      room.memMb / Math.max(1, whole.memMb),
      room.gpus / Math.max(1, whole.gpus),
    );
  }
}

const runningCount = ({tasks, doneCount, idleCount}: StepState): number =>
  tasks.length - doneCount - idleCount;
