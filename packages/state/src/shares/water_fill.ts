/** Demand of one holder. */
export interface Demand<K> {
  readonly key: K;
  readonly want: number;
}

/**
 * Divides a whole number of units by max-min fairness: no holder gets more
 * than it wants, and none gets less than another unless it wants less.
 * @param total - units to divide.
 * @param demands - demand of each holder; earlier ones get the remainder.
 */
export const waterFill = <K>(
  total: number,
  demands: ReadonlyArray<Demand<K>>,
): Map<K, number> => {
  const result = new Map<K, number>();
  const ascending = [...demands].sort((a, b) => a.want - b.want);
  let left = Math.max(0, total);
  for (const [i, {key, want}] of ascending.entries()) {
    const fair = Math.floor(left / (ascending.length - i));
    const given = Math.min(want, fair);
    result.set(key, given);
    left -= given;
  }
  for (const {key, want} of demands) {
    const given = result.get(key) ?? 0;
    if (left === 0 || given >= want) continue;
    result.set(key, given + 1);
    left--;
  }
  return result;
};
