/**
 * Judges how well a task fits on a worker. Load pattern: memory runs out before
 * the processors do, and small tasks are spread so that none of the larger ones
 * finds enough memory on one worker.
 */
import {NO_RESOURCES, addResources, freeFraction} from '../resources.js';
import type {Resources} from '../types.js';
import type {PlanInput} from './types.js';

/** Fraction of a worker that counts as free. */
export type Fit = (free: Resources, whole: Resources) => number;

/** Free fraction of a worker's memory. */
const freeMemory: Fit = (free, whole) => free.memMb / Math.max(1, whole.memMb);

/**
 * The fit in each pool: by memory where that is the scarcer at the start of the
 * pass, else by both. Always by both in a bundle without customers.
 */
export const fitsByPool = ({
  db,
  workers,
}: Pick<PlanInput, 'db' | 'workers'>): ((pool: string) => Fit) => {
  if (db.customers.size === 0) return () => freeFraction;
  const sums = new Map<string, {free: Resources; whole: Resources}>();
  for (const {pool, free, room, isUsable} of workers.values()) {
    if (!isUsable) continue;
    const known = sums.get(pool) ?? {free: NO_RESOURCES, whole: NO_RESOURCES};
    sums.set(pool, {
      free: addResources(known.free, free),
      whole: addResources(known.whole, room),
    });
  }
  const fits = new Map<string, Fit>();
  for (const [pool, {free, whole}] of sums)
    if (freeMemory(free, whole) < free.cpuMillis / Math.max(1, whole.cpuMillis))
      fits.set(pool, freeMemory);
  return pool => fits.get(pool) ?? freeFraction;
};
