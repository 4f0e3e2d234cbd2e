/**
 * Tells now and then how many calls for advice are under way, and how long those
 * that are not made yet have waited. Load pattern: more steps wait than there are
 * VMs to call from, so that the queue of calls is where their time goes.
 */
import type Logger from 'bunyan';
import {stepKey, type StepRef} from '@primrosewick/state';

/** Shortest time between two lines, in ms. */
const TELL_INTERVAL_MS = 2000;

/** Calls at one moment. */
export interface ObservedCalls {
  /** Monotonic time, in ms. */
  readonly now: number;
  /** Calls that wait for a VM. */
  readonly waiting: ReadonlyArray<{
    readonly step: StepRef;
    /** Monotonic time at which the call was wanted, in ms. */
    readonly wantedAt: number;
    readonly costMs: number;
  }>;
  readonly underWay: number;
  readonly callers: number;
}

/** Lines about calls that wait. */
export class AdviceQueueLog {
  private tellFrom = Number.NEGATIVE_INFINITY;

  constructor(private readonly logger: Logger) {}

  /** Notes the calls that are left after all that could be made. */
  note({now, waiting, underWay, callers}: ObservedCalls): void {
    if (waiting.length === 0 || now < this.tellFrom) return;
    this.tellFrom = now + TELL_INTERVAL_MS;
    const oldest = waiting.reduce((a, b) => (b.wantedAt < a.wantedAt ? b : a));
    this.logger.info(
      {
        change: 'advice_queue',
        waiting: waiting.length,
        underWay,
        callers,
        oldest: stepKey(oldest.step),
        oldestMs: Math.round(now - oldest.wantedAt),
        costMs: Math.round(oldest.costMs),
      },
      'calls for advice wait for a VM to call from',
    );
  }
}
