/**
 * Logs for how long the runs of a worker are unknown, after an order without an
 * answer, and what that wait ends with: its lists, or the end of its lease.
 */
import type Logger from 'bunyan';
import {assertNever, type WorkerId} from '@primrosewick/state';
import type {OrderFailure} from './ports.js';

/** Interval at which a wait that goes on is logged again, in ms. */
const REPEAT_INTERVAL_MS = 1000;

/** What is known of a wait; times are monotonic, in ms. */
export interface UnsureWait {
  readonly now: number;
  /** When the lease of the worker lapses, whatever it answers. */
  readonly lapseAt: number;
  /** Number of its recorded runs. */
  readonly runCount: number;
}

interface PendingWait {
  readonly since: number;
  nextLineAt: number;
  failedCalls: number;
}

/** Logs the waits for the lists of one worker: how each begins, goes on and ends. */
export class UnsureLog {
  private pending: PendingWait | undefined;

  constructor(
    private readonly logger: Logger,
    private readonly worker: WorkerId,
  ) {}

  /** Notes an order with an unknown outcome. */
  begin(why: string, wait: UnsureWait): void {
    const {now} = wait;
    if (this.pending) return;
    const nextLineAt = now + REPEAT_INTERVAL_MS;
    this.pending = {since: now, nextLineAt, failedCalls: 0};
    this.logger.info(
      {change: 'worker_unsure', worker: this.worker, why, ...this.facts(wait)},
      'outcome of an order is unknown; querying the runs of the worker',
    );
  }

  /** Notes a call for the lists that came to nothing. */
  callFailed(failure: OrderFailure, wait: UnsureWait): void {
    if (!this.pending) return;
    this.pending.failedCalls++;
    if (wait.now < this.pending.nextLineAt) return;
    this.pending.nextLineAt = wait.now + REPEAT_INTERVAL_MS;
    const why = describeFailure(failure);
    this.logger.info(
      {change: 'worker_wait', worker: this.worker, why, ...this.facts(wait)},
      'the runs of the worker are still unknown',
    );
  }

  /** Notes that the lists have been received. */
  end(wait: UnsureWait): void {
    if (!this.pending) return;
    const facts = this.facts(wait);
    this.pending = undefined;
    this.logger.info(
      {change: 'worker_sure', worker: this.worker, ...facts},
      'the runs of the worker are known again',
    );
  }

  private facts({now, lapseAt, runCount}: UnsureWait) {
    const lapseInMs = Math.max(0, Math.round(lapseAt - now));
    const {since = now, failedCalls = 0} = this.pending ?? {};
    return {
      waitsFor: lapseInMs > 0 ? 'lists or lease' : 'lists',
      waitedMs: Math.round(now - since),
      failedCalls,
      lapseInMs,
      runCount,
    };
  }
}

const describeFailure = (failure: OrderFailure): string => {
  switch (failure.kind) {
    case 'not_sent':
    case 'no_answer':
      return `${failure.kind}: ${failure.detail}`;
    case 'refused':
      return failure.why;
    case 'other_life':
      return failure.kind;
    default:
      return assertNever(failure);
  }
};
