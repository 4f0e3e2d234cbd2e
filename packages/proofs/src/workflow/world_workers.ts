/** The workers of a simulated cell. */
import type {WorkerId} from '@primrosewick/state';
import {SimWorker, type SimWorkerOptions} from './sim_worker.js';

/** Options of all workers alike. */
export interface WorldWorkersOptions extends Omit<
  SimWorkerOptions,
  'id' | 'address' | 'rack' | 'rate' | 'room' | 'onChange'
> {
  /** Draws the rate of a worker's clock. */
  readonly drawRate: () => number;
  readonly onChange: (worker: SimWorker) => void;
}

const WORKER_COUNT = 5;
/** The room of each worker, unless it is changed. */
export const WORKER_RESOURCES = {cpuMillis: 4000, memMb: 4000, gpus: 0};

/** Makes the workers, in two racks. */
export const makeWorkers = ({
  drawRate,
  onChange,
  ...options
}: WorldWorkersOptions): SimWorker[] =>
  Array.from({length: WORKER_COUNT}, (_, i) => {
    const worker: SimWorker = new SimWorker({
      ...options,
      id: `w${i}` as WorkerId,
      address: `10.0.0.${i + 1}:1`,
      rack: `r${i % 2}`,
      room: WORKER_RESOURCES,
      rate: drawRate(),
      onChange: () => onChange(worker),
    });
    return worker;
  });
