/** Shows how many ids this VM remembers as cancelled before their submission. */
import type {WorkflowDb} from '@primrosewick/state';
import {Gauge, type Registry} from 'prom-client';

/** Registers the gauges. */
export const registerCancelledIdsGauges = (
  registry: Registry,
  {cancelled}: Pick<WorkflowDb, 'cancelled'>,
): void => {
  const gauge = (name: string, help: string, read: () => number): Gauge =>
    new Gauge({
      name: `primrosewick_cancelled_ids${name}`,
      help,
      registers: [registry],
      collect() {
        this.set(read());
      },
    });
  gauge(
    '',
    'Ids that were cancelled before a submission of them was recorded.',
    () => cancelled.size,
  );
  gauge('_bytes', 'Size of these ids, in bytes.', () => cancelled.bytes);
};
