/** What a customer holds and may hold when a job of it is asked about. */
import type {Customer, Queue} from '../../bundle/types.js';
import {CustomerCaps} from '../planner/customer_caps.js';
import {CustomerHoldings, holderOf} from '../planner/customer_holdings.js';
import type {PlanInput} from '../planner/types.js';
import type {StepSpec} from '../types.js';
import type {CustomerAnswer} from './types.js';

/** Usage and share of a customer at the start of a pass, in the pool of a queue. */
export const customerAnswer = (
  customer: Customer,
  {pool}: Queue,
  {input, spec}: {readonly input: PlanInput; readonly spec: StepSpec},
): CustomerAnswer => {
  const {db} = input;
  const {name, weight, cap} = customer;
  const holdings = new CustomerHoldings(input);
  holdings.noteActive(pool, name);
  for (const workflow of db.open.values())
    if (db.queues.get(workflow.queue)?.pool === pool)
      holdings.noteActive(pool, holderOf(workflow));
  const held = holdings.heldBy(pool, name);
  const step = {workflow: {customer: name}, spec};
  return {
    name,
    weight,
    used: new CustomerCaps(input).waitOf(step)?.used ?? held,
    cap,
    share: holdings.dominantShareOf(pool, held),
    fairShare: holdings.fairShareOf(pool, name),
  };
};
