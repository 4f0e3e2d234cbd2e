/**
 * Gives the turns at the adviser to the steps at the front. Load pattern: more
 * steps wait for room than their tickets can be kept valid for, so that calls
 * for all of them fill the callers, first answers come late, and each ticket
 * has lapsed by the time there is room.
 */
import type {AdviceTiming} from '../../bundle/types.js';

/** Share of the callers that renewals for steps that wait may keep busy. */
const MAX_BUSY_SHARE = 0.4;
/** Time by which a ticket is renewed before it lapses, beyond the call itself, in ms. */
export const RENEW_MARGIN_MS = 450;
/** Workers named in a usual call. */
const USUAL_WORKERS = 20;

/** Expected time of a usual call, in ms. */
const callMs = ({baseMs, perWorkerMs}: AdviceTiming): number =>
  baseMs + perWorkerMs * USUAL_WORKERS;

/** Remaining validity below which a ticket is renewed, in ms. */
export const renewBelowMs = (terms: AdviceTiming): number =>
  callMs(terms) + RENEW_MARGIN_MS;

/** The turns of one pass. */
export class AdviceCallSlots {
  /** Callers that the steps with a turn keep busy. */
  private busy = 0;

  constructor(private readonly callerCount: number) {}

  /**
   * Takes a turn for a step that waits; steps come in the order of service.
   * @returns whether its adviser may be asked now.
   */
  take(terms: AdviceTiming): boolean {
    if (this.busy >= MAX_BUSY_SHARE * this.callerCount) return false;
    this.busy += busyBy(terms);
    return true;
  }

  /** Gives back the turn of a step that has no use for it now. */
  release(terms: AdviceTiming): void {
    this.busy -= busyBy(terms);
  }
}

/** Callers that a step keeps busy as long as it has a turn. */
const busyBy = (terms: AdviceTiming): number => {
  const cost = callMs(terms);
  return cost / Math.max(cost, terms.validMs - renewBelowMs(terms));
};
