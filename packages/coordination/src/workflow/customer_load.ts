/** Periodically logs what customers use and what their caps hold back. */
import type Logger from 'bunyan';
import type {CustomerName, PlannedWait, WorkflowDb} from '@primrosewick/state';

/** Maximum number of customers logged at a time; those with the most runs go first. */
const MAX_CUSTOMERS_LOGGED = 20;

/** Options of {@link CustomerLoad}. */
export interface CustomerLoadOptions {
  readonly db: Pick<WorkflowDb, 'customers' | 'usage'>;
  readonly logger: Logger;
}

/** Use of customers while this VM leads. */
export class CustomerLoad {
  /** Tasks that the last pass held back, by customer. */
  private heldBack: ReadonlyMap<CustomerName, number> = new Map();

  constructor(private readonly options: CustomerLoadOptions) {}

  /** Notes all waits of one pass. */
  notePass(waits: readonly PlannedWait[]): void {
    const heldBack = new Map<CustomerName, number>();
    for (const {cap, taskCount} of waits)
      if (cap)
        heldBack.set(
          cap.customer,
          (heldBack.get(cap.customer) ?? 0) + taskCount,
        );
    this.heldBack = heldBack;
  }

  /** Logs one line for each customer with runs or tasks held back. */
  log(): void {
    const {db, logger} = this.options;
    const names = new Set([
      ...[...db.usage.entries()].map(([name]) => name),
      ...this.heldBack.keys(),
    ]);
    const logged = [...names]
      .sort((a, b) => db.usage.of(b).runs - db.usage.of(a).runs)
      .slice(0, MAX_CUSTOMERS_LOGGED);
    for (const customer of logged) {
      const {runs, declared} = db.usage.of(customer);
      logger.info(
        {
          change: 'customer_load',
          customer,
          running: runs,
          used: declared,
          allowed: db.customers.get(customer)?.cap,
          weight: db.customers.get(customer)?.weight,
          heldBack: this.heldBack.get(customer) ?? 0,
        },
        'current usage of a customer, and tasks that its cap holds back',
      );
    }
  }
}
