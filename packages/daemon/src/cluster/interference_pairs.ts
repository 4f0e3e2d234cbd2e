/** Measures the pairs of kinds that slow each other down, while this VM leads. */
import type {InterferenceCounts} from '@primrosewick/coordination';
import {Gauge, type Registry} from 'prom-client';

/** @returns a function that observes the pairs. */
export const makeInterferenceObserver = (
  registry: Registry,
): ((counts: InterferenceCounts) => void) => {
  const pairs = new Gauge({
    name: 'primrosewick_interference_pairs',
    help: 'Pairs of task kinds seen on one worker: counting (avoided), other.',
    labelNames: ['pairs'],
    registers: [registry],
  });
  return ({known, counting}) => {
    pairs.set({pairs: 'counting'}, counting);
    pairs.set({pairs: 'other'}, known - counting);
  };
};
