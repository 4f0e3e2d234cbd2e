/** Records the workflows that clients submit, at the leader. */
import type Logger from 'bunyan';
import {
  CellError,
  findExceededLimit,
  type Customer,
  type CustomerName,
  type NewWorkflow,
  type Queue,
  type QueueName,
  type WorkflowCommand,
  type WorkflowDb,
  type WorkflowId,
  type WorkflowResult,
  type WorkflowSpec,
  type ZoneId,
} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import type {LoadSheddingTask} from '../load/task.js';
import type {RecordLoadTask} from '../record_load/task.js';
import {CapCheck} from './cap_check.js';
import {
  SubmissionAdmission,
  type RefusalReason,
} from './submission_admission.js';

/** Options of {@link SubmissionRecorder}. */
export interface SubmissionRecorderOptions {
  readonly db: WorkflowDb;
  readonly propose: (command: WorkflowCommand) => Promise<WorkflowResult>;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Decides whether this VM takes new work, given its event loop lag. */
  readonly load: Pick<LoadSheddingTask, 'decide'>;
  /** Decides whether this VM takes new work, given the time of its records. */
  readonly records?: Pick<RecordLoadTask, 'decide'>;
  /** Called for each workflow whose submission is about to be recorded. */
  readonly onSubmission?: (workflow: NewWorkflow) => void;
  /** Called for each recorded workflow with its customer; undefined without one. */
  readonly onAccepted?: (customer: CustomerName | undefined) => void;
  /** Called if it was not recorded, as far as this VM knows. */
  readonly onUnrecorded?: (id: WorkflowId) => void;
  /** Called for each workflow that is rejected because of the backlog, a rate or a cap. */
  readonly onRefused?: (
    queue: QueueName,
    why: RefusalReason | 'cap_exceeded',
  ) => void;
}

/** A workflow as its client submits it, with the queue that its address names. */
export interface SubmittedWorkflow {
  readonly id: WorkflowId;
  readonly queue: Queue;
  readonly spec: WorkflowSpec;
  /** Availability zone of the entry; undefined if it told none. */
  readonly zone: ZoneId | undefined;
  /** Customer whose key the client gave; undefined without one. */
  readonly customer: Customer | undefined;
}

/** Admits new workflows and records them; duplicates in flight share the outcome. */
export class SubmissionRecorder {
  private readonly inFlight = new Map<WorkflowId, Promise<WorkflowResult>>();
  private readonly admission: SubmissionAdmission;
  private readonly caps: CapCheck;

  constructor(private readonly options: SubmissionRecorderOptions) {
    this.admission = new SubmissionAdmission(options);
    this.caps = new CapCheck(options);
  }

  /** Resolves once a submission that is being recorded has been, or has failed. */
  async settled(id: WorkflowId): Promise<void> {
    await this.inFlight.get(id)?.catch(() => undefined);
  }

  /**
   * Records a workflow that is not known, whose caller waits until a deadline of the
   * monotonic clock in ms.
   * @throws CellError of the check that rejects it, or of the proposal.
   */
  async record(workflow: SubmittedWorkflow, deadline: number): Promise<void> {
    const {id} = workflow;
    const pending = this.inFlight.get(id);
    if (pending) return this.checkRecorded(id, await pending);
    if (this.options.db.cancelled.has(id)) throw this.refuseCancelled(id);
    const command = this.admit(workflow, deadline);
    const outcome = this.options.propose(command);
    this.inFlight.set(id, outcome);
    try {
      this.checkRecorded(id, await outcome);
      this.noteAccepted(workflow);
    } catch (err) {
      this.options.onUnrecorded?.(id);
      throw err;
    } finally {
      this.inFlight.delete(id);
    }
  }

  /** @returns the record of a workflow that is admitted. */
  private admit(
    {id, queue, spec, zone, customer: payer}: SubmittedWorkflow,
    deadline: number,
  ): WorkflowCommand {
    rejectInvalid('submit', findExceededLimit(spec));
    const customer = payer && {customer: payer.name};
    this.caps.check({id, queue, spec, customer: payer});
    const inFlight = this.inFlight.size;
    const submission = {id, queue, spec, inFlight, deadline, ...customer};
    const isBeyondRate = this.admission.check(submission);
    this.options.onSubmission?.({id, queue, spec, ...customer});
    return {
      kind: 'submit',
      id,
      queue: queue.name,
      spec,
      at: this.options.clock.wall(),
      ...customer,
      ...(zone !== undefined && {zone}),
      ...(isBeyondRate && {isBeyondRate}),
    };
  }

  private noteAccepted({id, queue, customer}: SubmittedWorkflow): void {
    const {db, logger, onAccepted} = this.options;
    onAccepted?.(customer?.name);
    logger.info(
      {
        decision: 'accept',
        req: id,
        queue: queue.name,
        ...(customer && {customer: customer.name}),
        bundle: db.bundle?.version,
        index: db.index,
        open: db.open.size,
      },
      'workflow accepted',
    );
  }

  /** @throws CellError `cancelled_before` for a submission that has no effect. */
  private checkRecorded(id: WorkflowId, {kind}: WorkflowResult): void {
    if (kind === 'cancelled_before') throw this.refuseCancelled(id);
  }

  private refuseCancelled(req: WorkflowId): CellError {
    const {db, logger} = this.options;
    logger.info(
      {decision: 'reject', req, why: 'cancelled_before', index: db.index},
      'workflow rejected: its id was cancelled before',
    );
    return new CellError({code: 'cancelled_before', step: 'submit'});
  }
}

/** @throws CellError `invalid_input` with `detail`, if there is one. */
export const rejectInvalid = (
  step: string,
  detail: string | undefined,
): void => {
  if (detail === undefined) return;
  throw new CellError({code: 'invalid_input', step, detail});
};
