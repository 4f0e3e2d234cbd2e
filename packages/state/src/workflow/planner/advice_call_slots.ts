/**
 * Limits the calls to advisers to the steps at the front of the order. Load
 * pattern: more steps wait for resources than tickets can be kept valid for;
 * calls for all of them would saturate the callers, delay first answers, and
 * let each ticket expire before resources become free.
 */
import type {AdviceTiming} from '../../bundle/types.js';

/** Fraction of the callers that ticket renewals of waiting steps may occupy. */
const MAX_BUSY_SHARE = 0.4;
/**
 * Time before its expiry at which a ticket is renewed, in addition to the call,
 * in ms.
 */
export const RENEW_MARGIN_MS = 450;
/** Number of workers named in a typical call. */
const TYPICAL_WORKER_COUNT = 20;

/** Expected duration of a typical call, in ms. */
const callDurationMs = ({baseMs, perWorkerMs}: AdviceTiming): number =>
  baseMs + perWorkerMs * TYPICAL_WORKER_COUNT;

/** Remaining validity below which a ticket is renewed, in ms. */
export const renewBelowMs = (timing: AdviceTiming): number =>
  callDurationMs(timing) + RENEW_MARGIN_MS;

/** The call slots of one pass. */
export class AdviceCallSlots {
  /** Expected number of callers that the steps with a slot occupy. */
  private busy = 0;

  constructor(private readonly callerCount: number) {}

  /**
   * Acquires a slot for a waiting step; call in the order of service.
   * @returns whether its adviser may be queried now.
   */
  take(timing: AdviceTiming): boolean {
    if (this.busy >= MAX_BUSY_SHARE * this.callerCount) return false;
    this.busy += expectedBusyCallers(timing);
    return true;
  }

  /** Releases the slot of a step that does not need it now. */
  release(timing: AdviceTiming): void {
    this.busy -= expectedBusyCallers(timing);
  }
}

/** Expected number of callers that a step occupies while it has a slot. */
const expectedBusyCallers = (timing: AdviceTiming): number => {
  const cost = callDurationMs(timing);
  return cost / Math.max(cost, timing.validMs - renewBelowMs(timing));
};
