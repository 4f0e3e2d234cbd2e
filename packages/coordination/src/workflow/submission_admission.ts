/** Decides whether a leader takes a submission, and logs each rejection. */
import type Logger from 'bunyan';
import {
  CellError,
  decideAdmission,
  type Admission,
  type CustomerName,
  type Queue,
  type QueueName,
  type WorkflowDb,
  type WorkflowId,
  type WorkflowSpec,
} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import {LoadSheddingLog} from '../load/load_shedding_log.js';
import type {LoadSheddingTask} from '../load/task.js';
import {RefusedSubmissions} from '../record_load/refused_submissions.js';
import type {RecordLoadTask} from '../record_load/task.js';

const REFUSAL_TEXTS: Readonly<Record<RefusalReason, string>> = {
  backlog: 'workflow rejected: it would finish too late to be useful',
  over_rate:
    'workflow rejected: beyond the rate of its customer, without room for all',
};

/** Options of {@link SubmissionAdmission}. */
export interface SubmissionAdmissionOptions {
  readonly db: WorkflowDb;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Decides given the lag of the event loop. */
  readonly load: Pick<LoadSheddingTask, 'decide'>;
  /** Decides given the time that records take. */
  readonly records?: Pick<RecordLoadTask, 'decide'>;
  /** Called for each workflow that is rejected because of the backlog or a rate. */
  readonly onRefused?: (queue: QueueName, why: RefusalReason) => void;
}

/** Reason of a rejection because of the backlog. */
export type RefusalReason = 'backlog' | 'over_rate';

/** A submission that is neither known nor in flight. */
export interface NewSubmission {
  readonly id: WorkflowId;
  readonly queue: Queue;
  readonly spec: WorkflowSpec;
  /** Customer whose key the client gave; absent without one. */
  readonly customer?: CustomerName;
  /** Submissions that are proposed and not applied yet. */
  readonly inFlight: number;
  /** Monotonic time until which its caller waits, in ms. */
  readonly deadline: number;
}

/** Admission of new work at one VM while it leads. */
export class SubmissionAdmission {
  private readonly refused = new RefusedSubmissions();
  private readonly loadSheddingLog: LoadSheddingLog;

  constructor(private readonly options: SubmissionAdmissionOptions) {
    const {logger, clock} = options;
    this.loadSheddingLog = new LoadSheddingLog(logger, clock);
  }

  /**
   * @returns whether the work is taken beyond the rate of its customer.
   * @throws CellError `leader_late`, `backlog` or `over_rate` for work that is not
   *   taken.
   */
  check(submission: NewSubmission): boolean {
    const {id} = submission;
    this.rejectWhenRefused(id);
    this.rejectWhenLagging(id);
    this.rejectWhenRecordsAreSlow(submission);
    return this.rejectForBacklog(submission);
  }

  /** Error for a submission that is refused now; it stays so until its client may return. */
  private refuse(id: WorkflowId, retryAfterMs: number): CellError {
    this.refused.note(id, this.options.clock.now(), retryAfterMs);
    return new CellError({code: 'leader_late', step: 'admit', retryAfterMs});
  }

  /**
   * @throws CellError `leader_late` for a submission whose client was told that it
   *   has not run, and may not return yet: an earlier attempt that was delayed.
   */
  private rejectWhenRefused(id: WorkflowId): void {
    const now = this.options.clock.now();
    const retryAfterMs = this.refused.retryAfterMs(id, now);
    if (retryAfterMs === 0) return;
    throw new CellError({code: 'leader_late', step: 'admit', retryAfterMs});
  }

  /** @throws CellError `leader_late` while this VM lags behind the work it has accepted. */
  private rejectWhenLagging(id: WorkflowId): void {
    const load = this.options.load.decide();
    if (load.kind === 'take') return;
    const {lateMs, retryAfterMs} = load;
    this.loadSheddingLog.logRefusal(id, lateMs);
    throw this.refuse(id, retryAfterMs);
  }

  /**
   * @throws CellError `leader_late` while records take too long for another
   *   submission, or longer than the caller waits.
   */
  private rejectWhenRecordsAreSlow({
    id,
    queue,
    inFlight,
    deadline,
  }: NewSubmission): void {
    const decision = this.options.records?.decide({
      queue: queue.name,
      priority: queue.priority,
      inFlight,
      deadline,
    });
    if (decision?.kind !== 'refuse') return;
    this.loadSheddingLog.logSlowRecords(id, queue.name, decision);
    throw this.refuse(id, decision.retryAfterMs);
  }

  /**
   * @returns whether a workflow is beyond the rate of its customer.
   * @throws CellError `backlog` for one that would finish too late to be useful,
   *   `over_rate` for one beyond the rate while not everything can be in time.
   */
  private rejectForBacklog(submission: NewSubmission): boolean {
    const {id, queue, spec, customer} = submission;
    const {db, clock} = this.options;
    const admission = decideAdmission(db, queue, spec, {
      id,
      wall: clock.wall(),
      ...(customer !== undefined && {customer}),
    });
    if (admission.kind === 'admit') return admission.isBeyondRate === true;
    throw this.refuseForBacklog(submission, admission);
  }

  private refuseForBacklog(
    {id, queue, customer}: NewSubmission,
    {kind, expectedMs, retryAfterMs}: Exclude<Admission, {kind: 'admit'}>,
  ): CellError {
    const why = kind === 'refuse' ? 'backlog' : kind;
    this.options.onRefused?.(queue.name, why);
    this.options.logger.info(
      {
        decision: 'reject',
        req: id,
        queue: queue.name,
        customer,
        why,
        expectedMs,
        retryAfterMs,
        index: this.options.db.index,
      },
      REFUSAL_TEXTS[why],
    );
    return new CellError({code: why, step: 'admit', retryAfterMs});
  }
}
