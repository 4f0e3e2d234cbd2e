import type {ServiceName} from '../ids/types.js';
import {reviverOf} from '../utils/image.js';
import type {DecisionNote} from './types.js';

/** Inputs of the decision for one service and one other zone. */
export interface SpillInput {
  readonly service: ServiceName;
  readonly lender: string;
  /** Expected wait for a slot in this zone, in ms. */
  readonly waitMs: number;
  /** Round trip to the other zone, in ms. */
  readonly roundTripMs: number;
  /** Reduction in wait that justifies cross-zone traffic, in ms. */
  readonly marginMs: number;
}

/**
 * Whether the service spills to the other zone, with the reason if that
 * changed.
 */
export interface SpillDecision {
  readonly isSpilling: boolean;
  readonly note?: DecisionNote;
}

/**
 * Decides whether a service spills to another zone. Spilling begins when the
 * expected wait exceeds the round trip plus the margin and ends when it no
 * longer exceeds the round trip; this hysteresis keeps a service from moving
 * between zones on every small change of the wait.
 */
export class SpillPolicy {
  private readonly spilling = new Set<string>();

  /** Decides for one service and one other zone. */
  decide({
    service,
    lender,
    waitMs,
    roundTripMs,
    marginMs,
  }: SpillInput): SpillDecision {
    const key = `${lender}\n${service}`;
    const wasSpilling = this.spilling.has(key);
    const isSpilling =
      waitMs > (wasSpilling ? roundTripMs : roundTripMs + marginMs);
    if (isSpilling === wasSpilling) return {isSpilling};
    if (isSpilling) this.spilling.add(key);
    else this.spilling.delete(key);
    const change = isSpilling ? 'borrows from' : 'no longer borrows from';
    const reason = `${change} ${lender}: expected wait ${describeWait(waitMs)}, round trip ${Math.round(roundTripMs)} ms`;
    return {isSpilling, note: {subject: service, reason}};
  }
}

const describeWait = (waitMs: number): string =>
  Number.isFinite(waitMs) ? `${Math.round(waitMs)} ms` : 'unbounded';

/** Restores the policy from its deserialized state. */
export const reviveSpillPolicy = reviverOf(SpillPolicy.prototype);
