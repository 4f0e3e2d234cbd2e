/** Customers of the bundle in force, and dropped ones that still have work. */
import type {Customer} from '../bundle/types.js';
import type {CustomerName} from '../ids/types.js';
import type {WorkflowDb} from './db.js';
import {setNewest} from './estimates/numbers.js';

/** Maximum number of dropped customers without work that are remembered. */
const MAX_DROPPED = 1000;

/** Customers by name; a dropped one keeps its last terms while it has work. */
export class KnownCustomers extends Map<CustomerName, Customer> {
  /**
   * Dropped customers without work, the latest last, and without their keys. A
   * submission that was proposed before the bundle may be recorded after it.
   */
  private readonly dropped = new Map<CustomerName, Customer>();

  /** Replaces the customers by those of a bundle. */
  put(
    customers: readonly Customer[],
    db: Pick<WorkflowDb, 'open' | 'workflows' | 'running'>,
  ): void {
    const kept = new Set(customers.map(({name}) => name));
    if ([...this.keys()].some(name => !kept.has(name)))
      for (const name of namesWithWork(db)) kept.add(name);
    for (const [name, customer] of this)
      if (!kept.has(name)) this.drop(customer);
    for (const customer of customers) {
      this.set(customer.name, customer);
      this.dropped.delete(customer.name);
    }
  }

  /** Notes a recorded submission; a dropped customer has its last terms again. */
  noteWork(name: CustomerName | undefined): void {
    const customer = name === undefined ? undefined : this.dropped.get(name);
    if (!customer) return;
    this.dropped.delete(customer.name);
    this.set(customer.name, customer);
  }

  /** Dropped customers without work. */
  droppedValues(): Customer[] {
    return [...this.dropped.values()];
  }

  /** Replaces the customers by those of an image; older ones have none dropped. */
  restore(
    customers: readonly Customer[] = [],
    dropped: readonly Customer[] = [],
  ): void {
    this.clear();
    this.dropped.clear();
    for (const customer of customers) this.set(customer.name, customer);
    for (const customer of dropped) this.dropped.set(customer.name, customer);
  }

  private drop(customer: Customer): void {
    this.delete(customer.name);
    const terms = {...customer, keyDigests: []};
    setNewest(this.dropped, customer.name, terms, MAX_DROPPED);
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
