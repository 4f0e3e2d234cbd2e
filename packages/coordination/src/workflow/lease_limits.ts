/** Times that bound what a leader may order. */

/** Time by which orders cease before a later leader counts on it, in ms. */
export const LEADERSHIP_MARGIN_MS = 100;
/** Longest lease given, in ms: covers a cut and a change of the leader. */
export const LEASE_MS = 7000;
