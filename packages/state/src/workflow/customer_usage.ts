/**
 * Running totals of the resources that customers have running, so that caps and
 * shares cost a pass nothing for each run.
 */
import type {QueueName} from '../bundle/types.js';
import type {CustomerName} from '../ids/types.js';
import {
  NO_RESOURCES,
  addResources,
  fitsInto,
  subtractResources,
} from './resources.js';
import type {Resources, WorkflowState} from './types.js';

/** Resources of the runs of one customer that may be active. */
export interface CustomerTotals {
  readonly runs: number;
  /** Declared resources, leftover tasks included; counted toward the cap. */
  readonly declared: Resources;
  /** Those of long-running tasks, which run until their workflow is cancelled. */
  readonly lasting: Resources;
  /** Resources that the runs reserve on workers, by queue. */
  readonly heldByQueue: ReadonlyMap<QueueName, Resources>;
}

const NO_TOTALS: CustomerTotals = {
  runs: 0,
  declared: NO_RESOURCES,
  lasting: NO_RESOURCES,
  heldByQueue: new Map(),
};

interface Totals extends CustomerTotals {
  runs: number;
  declared: Resources;
  lasting: Resources;
  readonly heldByQueue: Map<QueueName, Resources>;
}

type RunOwner = Pick<WorkflowState, 'customer' | 'queue' | 'spec'>;

/** Totals by customer; bounded by the customers that have runs. */
export class CustomerUsage {
  private readonly totals = new Map<CustomerName, Totals>();

  /** Totals of a customer. */
  of(customer: CustomerName): CustomerTotals {
    return this.totals.get(customer) ?? NO_TOTALS;
  }

  /** Totals of all customers that have runs. */
  entries(): IterableIterator<[CustomerName, CustomerTotals]> {
    return this.totals.entries();
  }

  /** Adds a run of a step that may be active from now on. */
  add(owner: RunOwner, step: number): void {
    this.count(owner, step, 1);
  }

  /** Removes a run whose end is proven. */
  remove(owner: RunOwner, step: number): void {
    this.count(owner, step, -1);
  }

  /** Counts all runs again from the states of the workflows. */
  recount(workflows: Iterable<WorkflowState>): void {
    this.totals.clear();
    for (const workflow of workflows)
      for (const steps of workflow.occurrences.values())
        steps.forEach(({tasks}, step) => {
          for (const {active} of tasks)
            active.forEach(() => this.add(workflow, step));
        });
  }

  private count({customer, queue, spec}: RunOwner, at: number, sign: 1 | -1) {
    const step = spec.steps[at];
    if (customer === undefined || !step) return;
    const known = this.totals.get(customer);
    const totals = known ?? {...NO_TOTALS, heldByQueue: new Map()};
    totals.runs += sign;
    // Without runs the totals start anew, so that rounding errors do not add up.
    if (totals.runs === 0) return void this.totals.delete(customer);
    const change = sign > 0 ? addResources : subtractResources;
    totals.declared = change(totals.declared, step.room);
    if (step.isLongRunning) totals.lasting = change(totals.lasting, step.room);
    if (!step.usesLeftover) {
      const held = totals.heldByQueue.get(queue) ?? NO_RESOURCES;
      setUnlessNone(totals.heldByQueue, queue, change(held, step.room));
    }
    this.totals.set(customer, totals);
  }
}

const setUnlessNone = (
  byQueue: Map<QueueName, Resources>,
  queue: QueueName,
  room: Resources,
): void => {
  const isNone = fitsInto(room, NO_RESOURCES);
  if (isNone) byQueue.delete(queue);
  else byQueue.set(queue, room);
};
