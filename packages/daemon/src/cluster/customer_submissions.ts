/** Counts the submissions that the leader records, by customer. */
import type {CustomerName} from '@primrosewick/state';
import {Counter, type Registry} from 'prom-client';

/** Maximum number of customers with a series of their own. */
const MAX_SERIES = 200;
/** Label of the customers beyond them. */
const OTHER = 'other';

/** @returns a function that counts recorded submissions; those without a customer have none. */
export const makeCustomerCounter = (
  registry: Registry,
): ((customer: CustomerName | undefined) => void) => {
  const submissions = new Counter({
    name: 'primrosewick_customer_submissions_total',
    help: 'Submissions that this VM recorded while it led, by customer; the first 200, then other.',
    labelNames: ['customer'],
    registers: [registry],
  });
  const named = new Set<CustomerName>();
  return customer => {
    if (customer === undefined) return;
    if (named.size < MAX_SERIES) named.add(customer);
    submissions.inc({customer: named.has(customer) ? customer : OTHER});
  };
};
