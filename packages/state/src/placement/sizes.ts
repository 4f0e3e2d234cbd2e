import type {Size} from '../documents/job.js';

/** Size whose parts are all 0. */
export const ZERO_SIZE: Size = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

/** Sum of two sizes. */
export const addSizes = (a: Size, b: Size): Size => ({
  cpuMillis: a.cpuMillis + b.cpuMillis,
  memoryMb: a.memoryMb + b.memoryMb,
  accelerators: a.accelerators + b.accelerators,
});

/** Difference of two sizes; parts may be negative. */
export const subtractSizes = (a: Size, b: Size): Size => ({
  cpuMillis: a.cpuMillis - b.cpuMillis,
  memoryMb: a.memoryMb - b.memoryMb,
  accelerators: a.accelerators - b.accelerators,
});

/** Maximum of two sizes in each part. */
export const maxSizes = (a: Size, b: Size): Size => ({
  cpuMillis: Math.max(a.cpuMillis, b.cpuMillis),
  memoryMb: Math.max(a.memoryMb, b.memoryMb),
  accelerators: Math.max(a.accelerators, b.accelerators),
});

/** Whether a size fits into a free capacity. */
export const fits = (size: Size, room: Size): boolean =>
  size.cpuMillis <= room.cpuMillis &&
  size.memoryMb <= room.memoryMb &&
  size.accelerators <= room.accelerators;

/** Number of tasks of a size that fit into a free capacity. */
export const countFits = (size: Size, room: Size): number => {
  const parts = [
    room.cpuMillis / size.cpuMillis,
    room.memoryMb / size.memoryMb,
  ];
  if (size.accelerators > 0) parts.push(room.accelerators / size.accelerators);
  return Math.floor(Math.min(...parts));
};

/** Formats a size for the reason of a decision. */
export const describeSize = ({
  cpuMillis,
  memoryMb,
  accelerators,
}: Size): string =>
  `${cpuMillis} mCPU, ${memoryMb} MiB, ${accelerators} accelerators`;
