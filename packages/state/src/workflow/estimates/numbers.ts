/** Arithmetic of the estimates, in logarithms of times and speeds. */

/** Steps of stored numbers; keeps images small. */
const RESOLUTION = 1000;

/** Rounds a number that is stored. */
export const toStored = (value: number): number =>
  Math.round(value * RESOLUTION) / RESOLUTION;

/** Limits a value to a range. */
export const clamp = (value: number, min: number, max: number): number =>
  Math.min(max, Math.max(min, value));

/** Median of sorted values, the mean of the middle two if their number is even. */
export const sortedMedian = (sorted: readonly number[]): number => {
  const middle = sorted.length >> 1;
  const upper = sorted[middle] ?? 0;
  return sorted.length % 2 === 1
    ? upper
    : (upper + (sorted[middle - 1] ?? upper)) / 2;
};

/** Sorted copy of numbers. */
export const sorted = (values: readonly number[]): number[] =>
  [...values].sort((a, b) => a - b);

/** Sets an entry of a map as the newest, and evicts the oldest beyond a limit. */
export const setNewest = <K, V>(
  map: Map<K, V>,
  key: K,
  value: V,
  maxSize = Number.POSITIVE_INFINITY,
): void => {
  map.delete(key);
  map.set(key, value);
  for (const oldest of map.keys()) {
    if (map.size <= maxSize) return;
    map.delete(oldest);
  }
};
