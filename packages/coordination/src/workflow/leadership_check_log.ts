/** Logs reads that waited long for the confirmation that this VM still leads. */
import type Logger from 'bunyan';
import {toCellError} from '@primrosewick/state';
import {LogRateLimiter, type Clock} from '@primrosewick/transport';

/** Duration from which a leadership check is logged, in ms: several quorum rounds. */
const SLOW_CHECK_MS = 500;
/** Maximum number of lines per second. */
const LINES_PER_SECOND = 10;

/** Logs leadership checks that are slow or fail. */
export class LeadershipCheckLog {
  private readonly budget = new LogRateLimiter(LINES_PER_SECOND, 1000);

  constructor(
    private readonly logger: Logger,
    private readonly clock: Clock,
  ) {}

  /** Waits for the leadership check of a read, and logs it if it is slow or fails. */
  async watch(req: string, check: Promise<void>): Promise<void> {
    const beganAt = this.clock.now();
    try {
      await check;
    } catch (thrown) {
      const err = toCellError(thrown, 'confirm').toBody();
      this.logCheck(req, beganAt, {outcome: 'failed', err});
      throw thrown;
    }
    if (this.clock.now() >= beganAt + SLOW_CHECK_MS)
      this.logCheck(req, beganAt, {outcome: 'slow'});
  }

  private logCheck(req: string, beganAt: number, facts: object): void {
    const now = this.clock.now();
    const line = this.budget.take(now);
    if (!line) return;
    const waitMs = Math.round(now - beganAt);
    this.logger.info(
      {decision: 'confirm', req, waitMs, ...facts, ...line},
      'confirmation of the leadership was slow or failed',
    );
  }
}
