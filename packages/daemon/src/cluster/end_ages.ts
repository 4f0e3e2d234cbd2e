/** Measures the age of a run's end when a replica of the log can show it. */
import type {WorkflowReplica} from '@primrosewick/coordination';
import type {Clock} from '@primrosewick/transport';
import {Histogram, type Registry} from 'prom-client';

const AGE_BUCKETS_MS = [5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000];

/**
 * Observes each record of run ends that a replica applies; negative ages count
 * as 0, as the clocks of two VMs may differ.
 */
export const observeEndAges = (
  replica: Pick<WorkflowReplica, 'applied' | 'isReady'>,
  clock: Clock,
  registry: Registry,
): void => {
  const ages = new Histogram({
    name: 'primrosewick_end_age_ms',
    help: 'Time from the listing of an end to its place in the copy of this VM, in ms.',
    buckets: AGE_BUCKETS_MS,
    registers: [registry],
  });
  replica.applied.subscribe(command => {
    // Entries replayed from the data folder ended long ago.
    if (command.kind !== 'end_runs' || !replica.isReady) return;
    ages.observe(Math.max(0, clock.wall() - command.at));
  });
};
