/** Shows what customers have running, as this VM has applied it. */
import type {CustomerTotals, WorkflowDb} from '@primrosewick/state';
import {Gauge, type Registry} from 'prom-client';

/** Maximum number of customers with series of their own; the rest is `other`. */
const MAX_CUSTOMERS = 199;
/** Label of the customers beyond that. */
const OTHER = 'other';

const GAUGES: ReadonlyArray<{
  readonly name: string;
  readonly help: string;
  readonly valueOf: (totals: CustomerTotals) => number;
}> = [
  {
    name: 'primrosewick_customer_runs',
    help: 'Recorded runs of a customer that may be active.',
    valueOf: ({runs}) => runs,
  },
  {
    name: 'primrosewick_customer_cpu_millis',
    help: 'Thousandths of a core that count toward the cap of a customer.',
    valueOf: ({declared}) => declared.cpuMillis,
  },
  {
    name: 'primrosewick_customer_memory_mb',
    help: 'Memory that counts toward the cap of a customer, in MB.',
    valueOf: ({declared}) => declared.memMb,
  },
];

/** Registers the gauges; customers without runs have no series. */
export const registerCustomerGauges = (
  registry: Registry,
  db: Pick<WorkflowDb, 'usage'>,
): void => {
  for (const {name, help, valueOf} of GAUGES)
    new Gauge({
      name,
      help,
      labelNames: ['customer'],
      registers: [registry],
      collect() {
        this.reset();
        const all = [...db.usage.entries()].sort(
          ([, a], [, b]) => b.runs - a.runs,
        );
        for (const [customer, totals] of all.slice(0, MAX_CUSTOMERS))
          this.set({customer}, valueOf(totals));
        const rest = all.slice(MAX_CUSTOMERS);
        if (rest.length === 0) return;
        const sum = rest.reduce((total, [, own]) => total + valueOf(own), 0);
        this.inc({customer: OTHER}, sum);
      },
    });
};
