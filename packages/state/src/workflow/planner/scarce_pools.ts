/**
 * Finds the pools whose waiting work needs more than is free. Load pattern: the
 * total demand is more than a pool has, so that the order of service decides.
 */
import {NO_RESOURCES, addResources, fitsInto} from '../resources.js';
import type {Resources} from '../types.js';
import type {PlanInput} from './types.js';

/** Resources that a waiting step needs in a pool. */
export interface PoolNeed {
  readonly pool: string;
  readonly need: Resources;
}

/** Pools whose steps need more than is free there, in any resource. */
export const scarcePools = (
  steps: readonly PoolNeed[],
  workers: PlanInput['workers'],
): ReadonlySet<string> => {
  const needs = new Map<string, Resources>();
  for (const {pool, need} of steps) addTo(needs, pool, need);
  const free = new Map<string, Resources>();
  for (const worker of workers.values())
    if (worker.isUsable) addTo(free, worker.pool, worker.free);
  const scarce = [...needs].filter(
    ([pool, need]) => !fitsInto(need, free.get(pool) ?? NO_RESOURCES),
  );
  return new Set(scarce.map(([pool]) => pool));
};

/** Adds an amount to a sum of a map. */
export const addTo = <K>(
  sums: Map<K, Resources>,
  key: K,
  amount: Resources,
): void =>
  void sums.set(key, addResources(sums.get(key) ?? NO_RESOURCES, amount));
