/** What operators see of customers: their terms, what they use, and their workflows. */
import type {Customer} from '../bundle/types.js';
import type {CustomerName} from '../ids/types.js';
import type {WorkflowDb} from './db.js';
import {NO_RESOURCES, addResources} from './resources.js';
import type {Resources} from './types.js';

/** Terms and usage of one customer; it has no key and no digest. */
export interface CustomerUsage extends Pick<
  Customer,
  'name' | 'priority' | 'weight' | 'cap'
> {
  /** Whether the bundle in force has it; a dropped one stays while it has work. */
  readonly isInForce: boolean;
  readonly keyCount: number;
  /** Resources of its recorded runs. */
  readonly used: Resources;
  /** Open workflows without a started task. */
  readonly waiting: number;
  /** Open workflows with a started task. */
  readonly running: number;
}

/** Resources of the recorded runs of each customer. */
const sumRuns = (db: WorkflowDb): ReadonlyMap<CustomerName, Resources> => {
  const sums = new Map<CustomerName, Resources>();
  for (const {active} of db.workers.values())
    for (const {task} of active.values()) {
      const customer = db.workflows.get(task.workflow)?.customer;
      if (customer === undefined) continue;
      const sum = sums.get(customer) ?? NO_RESOURCES;
      sums.set(customer, addResources(sum, db.resourcesOf(task)));
    }
  return sums;
};

/** Terms and usage of all customers, recounted from the whole state. */
export const listCustomerUsage = (db: WorkflowDb): readonly CustomerUsage[] => {
  const used = sumRuns(db);
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
      used: used.get(name) ?? NO_RESOURCES,
      waiting: waiting.get(name) ?? 0,
      running: running.get(name) ?? 0,
    }),
  );
};
