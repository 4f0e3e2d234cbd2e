/** Rejects work that the cap of its customer can never hold, and logs each rejection. */
import type Logger from 'bunyan';
import {
  CellError,
  findExceededCap,
  type Customer,
  type NewWorkflow,
  type QueueName,
  type WorkflowDb,
} from '@primrosewick/state';

/** Options of {@link CapCheck}. */
export interface CapCheckOptions {
  readonly db: WorkflowDb;
  readonly logger: Logger;
  readonly onRefused?: (queue: QueueName, why: 'cap_exceeded') => void;
}

/** A submission, with the customer that sent it. */
export type CustomerSubmission = Omit<NewWorkflow, 'customer'> & {
  readonly customer: Customer | undefined;
};

/** Checks submissions against the caps of the bundle in force. */
export class CapCheck {
  constructor(private readonly options: CapCheckOptions) {}

  /** @throws CellError `cap_exceeded` for a task or gang that the cap can never hold. */
  check({id, queue, spec, customer}: CustomerSubmission): void {
    const detail = customer && findExceededCap(spec, customer);
    if (!customer || detail === undefined) return;
    this.options.onRefused?.(queue.name, 'cap_exceeded');
    this.options.logger.info(
      {
        decision: 'reject',
        req: id,
        queue: queue.name,
        why: 'cap_exceeded',
        customer: customer.name,
        detail,
        index: this.options.db.index,
      },
      'workflow rejected: the cap of its customer can never hold it',
    );
    throw new CellError({code: 'cap_exceeded', step: 'submit', detail});
  }
}
