/** Counts the runs that the leader gives up, by the way in which it came to that. */
import type {GivenUpReason} from '@primrosewick/coordination';
import {Counter, type Registry} from 'prom-client';

/** @returns a function that counts runs that a record of this VM gives up. */
export const makeGivenUpCounter = (
  registry: Registry,
): ((reason: GivenUpReason, count: number) => void) => {
  const runs = new Counter({
    name: 'primrosewick_runs_given_up_total',
    help: 'Runs that this VM gave up while it led, by reason: not_started, lease_lapsed or other_life.',
    labelNames: ['reason'],
    registers: [registry],
  });
  return (reason, count) => runs.inc({reason}, count);
};
