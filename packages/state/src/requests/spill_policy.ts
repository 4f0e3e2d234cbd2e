import type {ServiceName} from '../ids/types.js';
import {reviverOf} from '../utils/image.js';
import type {DecisionNote} from './types.js';

/** What is weighed for one service and one other zone. */
export interface SpillInput {
  readonly service: ServiceName;
  readonly lender: string;
  /** Expected wait for a slot of the own zone, in ms. */
  readonly waitMs: number;
  /** Round trip to the other zone, in ms. */
  readonly roundTripMs: number;
  /** Gain in wait that makes the traffic worth it, in ms. */
  readonly marginMs: number;
}

/** Whether another zone serves, and why that changed. */
export interface SpillDecision {
  readonly isSpilling: boolean;
  readonly note?: DecisionNote;
}

/**
 * Chooses whether another zone serves. Hysteresis keeps a service from moving
 * between zones on every small change of the wait: it begins beyond the margin
 * and ends below the round trip.
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

/** Makes the choice from its plain state. */
export const reviveSpillPolicy = reviverOf(SpillPolicy.prototype);
