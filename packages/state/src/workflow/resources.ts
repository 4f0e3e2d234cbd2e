/** Arithmetic on resources. */
import type {Resources} from './types.js';

/** No resources. */
export const NO_RESOURCES: Resources = {cpuMillis: 0, memMb: 0, gpus: 0};

/** Sum of two amounts. */
export const addResources = (a: Resources, b: Resources): Resources => ({
  cpuMillis: a.cpuMillis + b.cpuMillis,
  memMb: a.memMb + b.memMb,
  gpus: a.gpus + b.gpus,
});

/** Difference of two amounts; negative where `b` exceeds `a`. */
export const subtractResources = (a: Resources, b: Resources): Resources => ({
  cpuMillis: a.cpuMillis - b.cpuMillis,
  memMb: a.memMb - b.memMb,
  gpus: a.gpus - b.gpus,
});

/** Whether a task of this size fits into the free resources. */
export const fitsInto = (size: Resources, free: Resources): boolean =>
  size.cpuMillis <= free.cpuMillis &&
  size.memMb <= free.memMb &&
  size.gpus <= free.gpus;

/** Larger of the free fractions of a worker's processor and memory. */
export const freeFraction = (free: Resources, whole: Resources): number =>
  Math.max(
    free.cpuMillis / Math.max(1, whole.cpuMillis),
    free.memMb / Math.max(1, whole.memMb),
  );

/** An amount several times. */
export const multiplyResources = (
  {cpuMillis, memMb, gpus}: Resources,
  times: number,
): Resources => ({
  cpuMillis: cpuMillis * times,
  memMb: memMb * times,
  gpus: gpus * times,
});

/** Largest fraction of a whole that an amount takes, of all kinds. */
export const dominantShare = (amount: Resources, whole: Resources): number =>
  Math.max(
    amount.cpuMillis / Math.max(1, whole.cpuMillis),
    amount.memMb / Math.max(1, whole.memMb),
    amount.gpus / Math.max(1, whole.gpus),
  );
