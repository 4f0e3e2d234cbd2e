/** Measures the learned speeds of the workers, while this VM leads. */
import type {SpeedSpread} from '@primrosewick/state';
import {Gauge, type Registry} from 'prom-client';

/** @returns a function that observes the spread of the speeds. */
export const makeSpeedObserver = (
  registry: Registry,
): ((spread: SpeedSpread) => void) => {
  const workers = new Gauge({
    name: 'primrosewick_worker_speeds',
    help: 'Workers by learned speed: slow (up to 0.85), even, fast (from 1.15).',
    labelNames: ['speed'],
    registers: [registry],
  });
  return ({knownCount, slowCount, fastCount}) => {
    workers.set({speed: 'slow'}, slowCount);
    workers.set({speed: 'even'}, knownCount - slowCount - fastCount);
    workers.set({speed: 'fast'}, fastCount);
  };
};
