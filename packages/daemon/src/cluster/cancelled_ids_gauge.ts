/** Shows how many ids this VM remembers as cancelled before their submission. */
import type {WorkflowDb} from '@primrosewick/state';
import {registerReadGauge} from '@primrosewick/transport';
import type {Registry} from 'prom-client';

/** Registers the gauges. */
export const registerCancelledIdsGauges = (
  registry: Registry,
  {cancelled}: Pick<WorkflowDb, 'cancelled'>,
): void => {
  registerReadGauge({
    registry,
    name: 'primrosewick_cancelled_ids',
    help: 'Ids that were cancelled before a submission of them was recorded.',
    read: () => cancelled.size,
  });
  registerReadGauge({
    registry,
    name: 'primrosewick_cancelled_ids_bytes',
    help: 'Size of these ids, in bytes.',
    read: () => cancelled.bytes,
  });
};
