/** Records cancellations of ids that no workflow has, at the leader. */
import type Logger from 'bunyan';
import {
  CellError,
  type WorkflowCommand,
  type WorkflowDb,
  type WorkflowId,
  type WorkflowResult,
} from '@primrosewick/state';
import {LogRateLimiter, type Clock} from '@primrosewick/transport';
import {CancellationQuota, type Canceller} from './cancellation_quota.js';

/** Log lines in a second; callers may cancel unknown ids without end. */
const LINES_PER_SECOND = 20;

/** Options of {@link CancellationRecorder}. */
export interface CancellationRecorderOptions {
  readonly db: Pick<WorkflowDb, 'cancelled' | 'index'>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly propose: (command: WorkflowCommand) => Promise<WorkflowResult>;
}

/**
 * A cancellation is recorded before it is acknowledged, as a submission of its id may
 * wait at a VM that stands still or is cut off, and come to a later leader.
 */
export class CancellationRecorder {
  private readonly quota: CancellationQuota;
  private readonly rateLimiter = new LogRateLimiter(LINES_PER_SECOND, 1000);

  constructor(private readonly options: CancellationRecorderOptions) {
    const {cancelled} = options.db;
    this.quota = new CancellationQuota({
      heldBytes: () => cancelled.bytes,
      keepMs: cancelled.keepMs,
    });
  }

  /**
   * Records the cancellation of an id.
   * @returns `known` if a workflow of this id was accepted meanwhile, which is
   *   cancelled then; else `unknown`.
   * @throws CellError `too_many_cancellations` if it can't be remembered.
   */
  async record(
    id: WorkflowId,
    canceller: Canceller,
  ): Promise<'known' | 'unknown'> {
    const {db, clock, propose} = this.options;
    if (db.cancelled.has(id)) return 'unknown';
    const settle = this.quota.take(id, canceller, clock.now());
    if (!settle) throw this.refuse(id, canceller);
    let isRemembered = false;
    try {
      const at = clock.wall();
      const result = await propose({kind: 'cancel', id, at, remembers: true});
      if (result.kind === 'applied') return 'known';
      isRemembered = result.kind === 'no_workflow' && result.isRemembered;
    } finally {
      settle(isRemembered);
    }
    if (!isRemembered) throw this.refuse(id, canceller);
    this.log(id, canceller, 'remembered');
    return 'unknown';
  }

  private refuse(id: WorkflowId, canceller: Canceller): CellError {
    this.log(id, canceller, 'refused');
    return new CellError({code: 'too_many_cancellations', step: 'cancel'});
  }

  private log(
    req: WorkflowId,
    canceller: Canceller,
    result: 'remembered' | 'refused',
  ): void {
    const {db, clock, logger} = this.options;
    const permit = this.rateLimiter.take(clock.now());
    if (!permit) return;
    const {size, bytes} = db.cancelled;
    const {index} = db;
    logger.info(
      {
        decision: 'cancel',
        req,
        result,
        canceller,
        index,
        size,
        bytes,
        ...permit,
      },
      'processed the cancellation of an unknown workflow',
    );
  }
}
