/** Customers of the bundle in force, and dropped ones that still have work. */
import type {Customer} from '../bundle/types.js';
import type {CustomerName} from '../ids/types.js';
import type {WorkflowDb} from './db.js';

/** Customers by name; a dropped one keeps its last terms while it has work. */
export class KnownCustomers extends Map<CustomerName, Customer> {
  /** Replaces the customers by those of a bundle. */
  put(
    customers: readonly Customer[],
    db: Pick<WorkflowDb, 'open' | 'workflows' | 'running'>,
  ): void {
    const kept = new Set(customers.map(({name}) => name));
    if ([...this.keys()].some(name => !kept.has(name)))
      for (const name of namesWithWork(db)) kept.add(name);
    for (const name of this.keys()) if (!kept.has(name)) this.delete(name);
    for (const customer of customers) this.set(customer.name, customer);
  }

  /** Replaces the customers by those of an image. */
  restore(customers: readonly Customer[] = []): void {
    this.clear();
    for (const customer of customers) this.set(customer.name, customer);
  }
}

/** Customers with workflows that are open, or ended with active runs. */
const namesWithWork = ({
  open,
  workflows,
  running,
}: Pick<WorkflowDb, 'open' | 'workflows' | 'running'>): CustomerName[] => {
  const ending = [...running.ending].map(id => workflows.get(id));
  return [...open.values(), ...ending].flatMap(workflow =>
    workflow?.customer === undefined ? [] : [workflow.customer],
  );
};
