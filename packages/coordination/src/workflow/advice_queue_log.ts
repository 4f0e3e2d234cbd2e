/**
 * Logs periodically how many calls for advice are in flight, and for how long
 * the queued ones have waited. Load pattern: there are more waiting steps than
 * VMs to call from, so the steps spend their time in the queue of calls.
 */
import type Logger from 'bunyan';
import {stepKey, type StepRef} from '@primrosewick/state';

/** Shortest time between two lines, in ms. */
const LOG_INTERVAL_MS = 2000;

/** Snapshot of the calls for advice. */
export interface ObservedCalls {
  /** Monotonic time, in ms. */
  readonly now: number;
  /** Calls that are queued for a VM. */
  readonly waiting: ReadonlyArray<{
    readonly step: StepRef;
    /** Monotonic time at which the call was enqueued, in ms. */
    readonly wantedAt: number;
    readonly costMs: number;
  }>;
  readonly underWay: number;
  readonly callers: number;
}

/** Logs the queue of calls for advice. */
export class AdviceQueueLog {
  private nextLogAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly logger: Logger) {}

  /** Notes the calls that remain queued after a dispatch. */
  note({now, waiting, underWay, callers}: ObservedCalls): void {
    if (waiting.length === 0 || now < this.nextLogAt) return;
    this.nextLogAt = now + LOG_INTERVAL_MS;
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
      'calls for advice are queued for a VM',
    );
  }
}
