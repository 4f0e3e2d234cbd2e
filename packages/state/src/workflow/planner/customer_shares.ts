/**
 * Orders ready steps so that customers take turns where a pool is scarce, by
 * weighted dominant shares. Load pattern: one customer's backlog is ahead of
 * everybody else's, and the total demand is more than the pool has.
 */
import {
  NO_RESOURCES,
  addResources,
  fitsInto,
  multiplyResources,
} from '../resources.js';
import {stepKey, taskRefOf} from '../refs.js';
import type {Resources, StepKey} from '../types.js';
import {
  holderOf,
  type CustomerHoldings,
  type Holder,
} from './customer_holdings.js';
import {OVERDUE_FACTOR, startDueAt} from './ready.js';
import {TurnHeap} from './turn_heap.js';
import type {PlanInput, ReadyStep} from './types.js';

type OrderInput = Pick<PlanInput, 'db' | 'workers' | 'wall' | 'pending'>;

/** A ready step with what its turn depends on. */
interface Contender {
  readonly ready: ReadyStep;
  /** Position in the order without customers. */
  readonly at: number;
  readonly pool: string;
  readonly holder: Holder;
  /** Resources of all its waiting tasks. */
  readonly need: Resources;
  /** Whether it has waited over OVERDUE_FACTOR times its allowed time. */
  readonly isOverdue: boolean;
  readonly isBeyondRate: boolean;
}

/**
 * Orders the steps of scarce pools by turns of their customers; all others keep
 * their places, and all steps where `holdings` is absent.
 * @param ready - in the order of service without customers.
 */
export const orderByCustomer = (
  ready: readonly ReadyStep[],
  input: OrderInput,
  holdings: CustomerHoldings | undefined,
): readonly ReadyStep[] => {
  if (!holdings) return ready;
  const pending = countPending(input);
  const contenders = ready.flatMap((step, at) =>
    contenderOf(step, at, input, pending.get(step.key) ?? 0),
  );
  for (const {pool, holder} of contenders) holdings.noteActive(pool, holder);
  const scarce = scarcePools(contenders, input.workers);
  const groups = new Map<string, Contender[]>();
  for (const contender of contenders) {
    if (!scarce.has(contender.pool)) continue;
    const key = `${contender.ready.priority} ${contender.pool}`;
    const group = groups.get(key);
    if (group) group.push(contender);
    else groups.set(key, [contender]);
  }
  const turns = new Turns(holdings);
  const ordered = [...ready];
  for (const group of groups.values())
    turns.order(group).forEach(({ready: step}, i) => {
      ordered[group[i]!.at] = step;
    });
  return ordered;
};

const contenderOf = (
  ready: ReadyStep,
  at: number,
  {db, wall}: OrderInput,
  pendingCount: number,
): Contender[] => {
  const {ref, dueAt} = ready;
  const workflow = db.open.get(ref.workflow);
  const queue = workflow && db.queues.get(workflow.queue);
  const spec = workflow?.spec.steps[ref.step];
  if (!workflow || !queue || !spec) return [];
  const state = db.stepsOf(workflow, ref.occurrence)[ref.step];
  const startAt = startDueAt(workflow, ref.occurrence);
  const contender = {
    ready,
    at,
    pool: queue.pool,
    holder: holderOf(workflow),
    need: spec.usesLeftover
      ? NO_RESOURCES
      : multiplyResources(spec.room, (state?.idleCount ?? 0) - pendingCount),
    isOverdue: wall >= startAt + OVERDUE_FACTOR * (dueAt - startAt),
    isBeyondRate: workflow.isBeyondRate === true,
  };
  return [contender];
};

/** Tasks without a recorded run whose start is pending, by step. */
const countPending = ({
  db,
  pending,
}: Pick<OrderInput, 'db' | 'pending'>): Map<StepKey, number> => {
  const counts = new Map<StepKey, number>();
  for (const key of pending.keys()) {
    const task = taskRefOf(key);
    const state = db.findTask(task);
    if (state && (state.isDone || state.active.length > 0)) continue;
    const step = stepKey(task);
    counts.set(step, (counts.get(step) ?? 0) + 1);
  }
  return counts;
};

/** Pools whose ready steps need more than is free there, in any resource. */
const scarcePools = (
  contenders: readonly Contender[],
  workers: PlanInput['workers'],
): Set<string> => {
  const needs = new Map<string, Resources>();
  for (const {pool, need} of contenders) addTo(needs, pool, need);
  const free = new Map<string, Resources>();
  for (const worker of workers.values())
    if (worker.isUsable) addTo(free, worker.pool, worker.free);
  const scarce = [...needs].filter(
    ([pool, need]) => !fitsInto(need, free.get(pool) ?? NO_RESOURCES),
  );
  return new Set(scarce.map(([pool]) => pool));
};

const addTo = (
  sums: Map<string, Resources>,
  key: string,
  amount: Resources,
): void =>
  void sums.set(key, addResources(sums.get(key) ?? NO_RESOURCES, amount));

/** The steps of one customer that await their turns. */
interface HolderLine {
  readonly holder: Holder;
  readonly steps: readonly Contender[];
  next: number;
  /** Dominant share divided by the weight. */
  level: number;
}

/** Turns of one pass; what a turn gives counts in all later ones. */
class Turns {
  /** Resources that the turns so far gave, by pool and holder. */
  private readonly given = new Map<string, Resources>();

  constructor(private readonly holdings: CustomerHoldings) {}

  /** Orders steps of one priority and pool. */
  order(group: readonly Contender[]): Contender[] {
    const first = this.takeOverdue(group);
    const rest = group.filter(contender => !first.has(contender));
    const isLast = ({isBeyondRate, isOverdue}: Contender) =>
      isBeyondRate && !isOverdue;
    return [
      ...first,
      ...this.takeTurns(rest.filter(contender => !isLast(contender))),
      ...this.takeTurns(rest.filter(isLast)),
    ];
  }

  /**
   * Overdue steps whose customers hold less than their shares. All overdue steps
   * would be those of the largest backlog.
   */
  private takeOverdue(group: readonly Contender[]): Set<Contender> {
    const taken = new Set<Contender>();
    for (const contender of group) {
      const {pool, holder, isOverdue} = contender;
      if (!isOverdue) continue;
      const fairShare = this.holdings.fairShareOf(pool, holder);
      if (this.shareOf(contender) >= fairShare) continue;
      this.give(contender);
      taken.add(contender);
    }
    return taken;
  }

  private takeTurns(steps: readonly Contender[]): Contender[] {
    const byHolder = new Map<Holder, Contender[]>();
    for (const step of steps) {
      const own = byHolder.get(step.holder);
      if (own) own.push(step);
      else byHolder.set(step.holder, [step]);
    }
    const heap = new TurnHeap<HolderLine>((a, b) => this.isBefore(a, b));
    for (const [holder, own] of byHolder)
      heap.push({holder, steps: own, next: 0, level: this.levelOf(own[0]!)});
    const ordered: Contender[] = [];
    for (let line = heap.pop(); line; line = heap.pop()) {
      const step = line.steps[line.next++]!;
      ordered.push(step);
      this.give(step);
      if (line.next === line.steps.length) continue;
      line.level = this.levelOf(step);
      heap.push(line);
    }
    return ordered;
  }

  private isBefore(a: HolderLine, b: HolderLine): boolean {
    if (a.level !== b.level) return a.level < b.level;
    const [first, second] = [a, b].map(({holder}) =>
      this.holdings.priorityOf(holder),
    ) as [number, number];
    if (first !== second) return first < second;
    return a.steps[a.next]!.at < b.steps[b.next]!.at;
  }

  private give(contender: Contender): void {
    addTo(this.given, keyOf(contender), contender.need);
  }

  private levelOf(contender: Contender): number {
    return this.shareOf(contender) / this.holdings.weightOf(contender.holder);
  }

  private shareOf(contender: Contender): number {
    const {pool, holder} = contender;
    const given = this.given.get(keyOf(contender)) ?? NO_RESOURCES;
    const held = this.holdings.heldBy(pool, holder);
    return this.holdings.dominantShareOf(pool, addResources(held, given));
  }
}

const keyOf = ({pool, holder}: Contender): string => `${pool}\n${holder}`;
