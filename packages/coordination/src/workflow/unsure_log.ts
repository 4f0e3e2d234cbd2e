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
  /** Whether it has a line. */
  isTold: boolean;
}

/** Logs the waits for the lists of a worker with runs: how each begins, goes on and ends. */
export class UnsureLog {
  private pending: PendingWait | undefined;

  constructor(
    private readonly logger: Logger,
    private readonly worker: WorkerId,
  ) {}

  /** Notes that the lists are asked for first, at a monotonic time in ms. */
  expect(now: number): void {
    const nextLineAt = now + REPEAT_INTERVAL_MS;
    this.pending = {since: now, nextLineAt, failedCalls: 0, isTold: false};
  }

  /** Notes that the runs are unknown, and why. */
  begin(why: string, wait: UnsureWait): void {
    if (this.pending) return;
    this.expect(wait.now);
    this.tell(
      {change: 'worker_unsure', why},
      'the runs of the worker are unknown; querying them',
      wait,
    );
  }

  /** Notes a call for the lists that came to nothing. */
  callFailed(failure: OrderFailure, wait: UnsureWait): void {
    if (!this.pending) return;
    this.pending.failedCalls++;
    if (wait.now < this.pending.nextLineAt) return;
    this.pending.nextLineAt = wait.now + REPEAT_INTERVAL_MS;
    this.tell(
      {change: 'worker_wait', why: describeFailure(failure)},
      'the runs of the worker are still unknown',
      wait,
    );
  }

  /** Notes that the lists have been received. */
  end(wait: UnsureWait): void {
    if (this.pending?.isTold)
      this.tell(
        {change: 'worker_sure'},
        'the runs of the worker are known again',
        wait,
      );
    this.pending = undefined;
  }

  /** Writes a line about a wait, unless the worker has no runs that wait for it. */
  private tell(line: object, message: string, wait: UnsureWait): void {
    if (!this.pending || wait.runCount === 0) return;
    this.pending.isTold = true;
    const {worker} = this;
    this.logger.info({...line, worker, ...this.facts(wait)}, message);
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
