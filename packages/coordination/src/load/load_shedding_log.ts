/** Tells of new work that was refused because the leader is late. */
import type Logger from 'bunyan';
import {LineBudget, type Clock} from '@primrosewick/transport';

/** Lines in a second: they are many just when there is no time for them. */
const LINES_PER_SECOND = 10;

/** Lines about refusals. */
export class LoadSheddingLog {
  private readonly budget = new LineBudget(LINES_PER_SECOND, 1000);

  constructor(
    private readonly logger: Logger,
    private readonly clock: Clock,
  ) {}

  /** Tells that a submission was refused while the usual turn was late by a time in ms. */
  logRefusal(req: string, lateMs: number): void {
    const line = this.budget.take(this.clock.now());
    if (!line) return;
    this.logger.info(
      {decision: 'reject', req, why: 'leader_late', lateMs, ...line},
      'a workflow is refused: the leader is late with what it has taken',
    );
  }
}
