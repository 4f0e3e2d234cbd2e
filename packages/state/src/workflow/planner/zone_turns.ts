/**
 * Lets zones take turns where a pool is full. Load pattern: the demand of zones
 * rises and falls in waves; by due time alone, the zone whose wave is at its
 * crest, or whose submissions arrive later, would be served worse.
 */
import type {ZoneId} from '../../ids/types.js';
import {NO_RESOURCES, addResources} from '../resources.js';
import type {Resources, WorkflowState} from '../types.js';
import type {PlanInput, ReadyStep} from './types.js';

/** A ready step of a workflow that has a zone. */
interface ZoneStep {
  readonly step: ReadyStep;
  /** Position in the order of service. */
  readonly position: number;
  readonly pool: string;
  readonly zone: ZoneId;
  /** Steps take turns only with those of the same group. */
  readonly group: string;
  /** Resources of its waiting tasks. */
  readonly wanted: Resources;
}

/**
 * Orders steps of the same queue and customer, where their pool has less free
 * than they need, so that each zone advances through its steps by the same
 * fraction of what it asked for. Other steps keep their positions, and steps of
 * one zone their order.
 */
export const orderByZone = (
  steps: readonly ReadyStep[],
  input: Pick<PlanInput, 'db' | 'workers'>,
): ReadyStep[] => {
  const ordered = [...steps];
  const known = steps.flatMap((step, position) =>
    zoneStepOf(step, position, input),
  );
  if (new Set(known.map(({zone}) => zone)).size < 2) return ordered;
  const scarce = scarcePools(known, input);
  for (const members of groupBy(known, ({group}) => group).values()) {
    if (!scarce.has(members[0]?.pool ?? '')) continue;
    const turns = takeTurns(members);
    members.forEach(({position}, i) => {
      const turn = turns[i];
      // The share of a queue belongs to the position, whichever zone takes it.
      const {isCounted} = steps[position] ?? {};
      if (turn) ordered[position] = {...turn.step, isCounted};
    });
  }
  return ordered;
};

const zoneStepOf = (
  step: ReadyStep,
  position: number,
  {db}: Pick<PlanInput, 'db'>,
): ZoneStep[] => {
  const workflow = db.open.get(step.ref.workflow);
  const queue = workflow && db.queues.get(workflow.queue);
  if (!workflow?.zone || !queue) return [];
  const {zone, customer, isBeyondRate} = workflow;
  const {pool} = queue;
  const group = JSON.stringify([
    queue.name,
    customer ?? '',
    step.isLate,
    isBeyondRate === true,
  ]);
  const wanted = waitingResources(step, workflow, db);
  return [{step, position, pool, zone, group, wanted}];
};

const waitingResources = (
  {ref}: ReadyStep,
  workflow: WorkflowState,
  db: PlanInput['db'],
): Resources => {
  const spec = workflow.spec.steps[ref.step];
  const count = db.stepsOf(workflow, ref.occurrence)[ref.step]?.idleCount ?? 0;
  if (!spec || spec.usesLeftover) return NO_RESOURCES;
  const {cpuMillis, memMb, gpus} = spec.room;
  return {
    cpuMillis: count * cpuMillis,
    memMb: count * memMb,
    gpus: count * gpus,
  };
};

/** Pools that have less free than the steps need, in any dimension. */
const scarcePools = (
  steps: readonly ZoneStep[],
  {workers}: Pick<PlanInput, 'workers'>,
): ReadonlySet<string> => {
  const scarce = new Set<string>();
  for (const [pool, members] of groupBy(steps, step => step.pool)) {
    let free = NO_RESOURCES;
    for (const worker of workers.values())
      if (worker.pool === pool && worker.isUsable)
        free = addResources(free, worker.free);
    const wanted = members.reduce(
      (sum, member) => addResources(sum, member.wanted),
      NO_RESOURCES,
    );
    const isScarce =
      wanted.cpuMillis > free.cpuMillis ||
      wanted.memMb > free.memMb ||
      wanted.gpus > free.gpus;
    if (isScarce) scarce.add(pool);
  }
  return scarce;
};

/**
 * Merges the steps of the zones by the fraction of the zone's demand that is
 * served once half of a step is.
 */
const takeTurns = (members: readonly ZoneStep[]): ZoneStep[] => {
  const total = members.reduce(
    (sum, {wanted}) => addResources(sum, wanted),
    NO_RESOURCES,
  );
  const sizeOf = ({wanted}: ZoneStep): number =>
    Math.max(
      wanted.cpuMillis / Math.max(1, total.cpuMillis),
      wanted.memMb / Math.max(1, total.memMb),
      wanted.gpus / Math.max(1, total.gpus),
    );
  const turns: Array<{readonly member: ZoneStep; readonly at: number}> = [];
  for (const own of groupBy(members, ({zone}) => zone).values()) {
    const demand = own.reduce((sum, member) => sum + sizeOf(member), 0);
    let served = 0;
    for (const member of own) {
      const size = sizeOf(member);
      const at = demand > 0 ? (served + size / 2) / demand : 0;
      served += size;
      turns.push({member, at});
    }
  }
  return turns
    .sort((a, b) => a.at - b.at || a.member.position - b.member.position)
    .map(({member}) => member);
};

const groupBy = <T, K>(items: readonly T[], keyOf: (item: T) => K) => {
  const groups = new Map<K, T[]>();
  for (const item of items) {
    const key = keyOf(item);
    const known = groups.get(key);
    if (known) known.push(item);
    else groups.set(key, [item]);
  }
  return groups;
};
