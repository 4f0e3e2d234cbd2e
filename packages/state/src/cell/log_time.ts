/** Most by which one entry moves the time of the log, in ms. */
const MAX_STEP_MS = 10 * 60 * 1000;

/**
 * Time of the log after an entry. It never goes back, and one proposer whose
 * clock has jumped ahead cannot make what is kept for a day expire at once.
 * @param time - time before the entry, in ms since 1970; 0 for none.
 * @param at - wall time at the proposer, in ms since 1970.
 */
export const nextLogTime = (time: number, at: number): number => {
  if (time === 0) return at;
  return Math.max(time, Math.min(at, time + MAX_STEP_MS));
};
