/** Maximum by which one entry advances the log time, in ms. */
const MAX_STEP_MS = 10 * 60 * 1000;

/**
 * Computes the log time after an entry. It never goes back, and it advances in
 * bounded steps, so that one proposer whose clock has jumped ahead cannot
 * expire records that are kept for a day.
 * @param time - log time before the entry, in ms since 1970; 0 for none.
 * @param at - wall time at the proposer, in ms since 1970.
 */
export const nextLogTime = (time: number, at: number): number => {
  if (time === 0) return at;
  return Math.max(time, Math.min(at, time + MAX_STEP_MS));
};
