/** Time limits for the orders and leases of a leader. */

/** A leader stops sending orders this much earlier than later leaders rely on, in ms. */
export const LEADERSHIP_MARGIN_MS = 100;
/**
 * Longest lease granted, in ms: long enough for a network outage and a change of
 * leader, and short enough that the work of a worker that is gone is not idle for 7 s.
 */
export const LEASE_MS = 6000;
/** Longest lease that a leader of this version or of the one before may have granted, in ms. */
export const MAX_GRANTED_MS = 7000;
