/** Logs new work that was rejected because the leader is overloaded. */
import type Logger from 'bunyan';
import type {QueueName} from '@primrosewick/state';
import {LogRateLimiter, type Clock} from '@primrosewick/transport';
import type {RecordDecision} from '../record_load/core.js';

/**
 * Log lines a second: rejections are most frequent when the leader has the
 * least time to log them.
 */
const LINES_PER_SECOND = 10;

/** Rate-limited log of rejected submissions. */
export class LoadSheddingLog {
  private readonly budget = new LogRateLimiter(LINES_PER_SECOND, 1000);

  constructor(
    private readonly logger: Logger,
    private readonly clock: Clock,
  ) {}

  /** Logs the rejection of a submission at an average event loop lag in ms. */
  logRefusal(req: string, lateMs: number): void {
    const line = this.budget.take(this.clock.now());
    if (!line) return;
    this.logger.info(
      {decision: 'reject', req, why: 'leader_late', lateMs, ...line},
      'workflow rejected: the leader is overloaded',
    );
  }

  /** Logs the rejection of a submission because records take too long. */
  logSlowRecords(
    req: string,
    queue: QueueName,
    {recordMs, limit, retryAfterMs}: Extract<RecordDecision, {kind: 'refuse'}>,
  ): void {
    const line = this.budget.take(this.clock.now());
    if (!line) return;
    this.logger.info(
      {
        decision: 'reject',
        req,
        queue,
        why: 'records_slow',
        recordMs,
        limit,
        retryAfterMs,
        ...line,
      },
      'workflow rejected: records of the log take too long',
    );
  }
}
