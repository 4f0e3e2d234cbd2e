/** What operators see of customers: their terms, what they use, and their workflows. */
import type {Customer} from '../bundle/types.js';
import type {CustomerName} from '../ids/types.js';
import type {WorkflowDb} from './db.js';
import type {Resources} from './types.js';

/** Terms and usage of one customer; it has no key and no digest. */
export interface CustomerReport extends Pick<
  Customer,
  'name' | 'priority' | 'weight' | 'cap'
> {
  /** Whether the bundle in force has it; a dropped one stays while it has work. */
  readonly isInForce: boolean;
  readonly keyCount: number;
  /** Declared resources of its runs that may be active. */
  readonly used: Resources;
  /** Open workflows without a started task. */
  readonly waiting: number;
  /** Open workflows with a started task. */
  readonly running: number;
}

/** Terms and usage of all customers. */
export const reportCustomers = (db: WorkflowDb): readonly CustomerReport[] => {
  const inForce = new Set(db.bundle?.customers?.map(({name}) => name));
  const waiting = new Map<CustomerName, number>();
  const running = new Map<CustomerName, number>();
  for (const {customer, hasStarted} of db.open.values()) {
    if (customer === undefined) continue;
    const counts = hasStarted ? running : waiting;
    counts.set(customer, (counts.get(customer) ?? 0) + 1);
  }
  return [...db.customers.values()].map(
    ({name, priority, weight, cap, keyDigests}) => ({
      name,
      priority,
      weight,
      cap,
      isInForce: inForce.has(name),
      keyCount: inForce.has(name) ? keyDigests.length : 0,
      used: db.usage.of(name).declared,
      waiting: waiting.get(name) ?? 0,
      running: running.get(name) ?? 0,
    }),
  );
};
