/** Arithmetic on rooms. */
import type {Resources} from './types.js';

/** Room of nothing. */
export const NO_RESOURCES: Resources = {cpuMillis: 0, memMb: 0, gpus: 0};

/** Sum of two rooms. */
export const addResources = (a: Resources, b: Resources): Resources => ({
  cpuMillis: a.cpuMillis + b.cpuMillis,
  memMb: a.memMb + b.memMb,
  gpus: a.gpus + b.gpus,
});

/** What is left of a room. */
export const subtractResources = (a: Resources, b: Resources): Resources => ({
  cpuMillis: a.cpuMillis - b.cpuMillis,
  memMb: a.memMb - b.memMb,
  gpus: a.gpus - b.gpus,
});

/** Whether a task of this size fits into what is free. */
export const fitsInto = (size: Resources, free: Resources): boolean =>
  size.cpuMillis <= free.cpuMillis &&
  size.memMb <= free.memMb &&
  size.gpus <= free.gpus;

/** Larger part of processor and memory that is left free, of a whole worker. */
export const freeFraction = (free: Resources, whole: Resources): number =>
  Math.max(
    free.cpuMillis / Math.max(1, whole.cpuMillis),
    free.memMb / Math.max(1, whole.memMb),
  );
