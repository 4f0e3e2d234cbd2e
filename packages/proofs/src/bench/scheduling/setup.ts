/** Configuration and workers of a simulated cluster. */
import type {Bundle, WorkerId, WorkflowCommand} from '@primrosewick/state';
import type {LoadPattern} from './load.js';

/** Processor capacity of a worker, in thousandths of a core. */
export const WORKER_CPU_MILLIS = 32_000;
const WORKER_MEM_MB = 131_072;
const POOL = 'pool';

type WorkerReport = Extract<WorkflowCommand, {kind: 'put_worker'}>['report'];

/** Report of an empty worker. */
export const makeReport = (
  worker: WorkerId,
  {workerMemMb = WORKER_MEM_MB}: LoadPattern,
): WorkerReport => ({
  worker,
  bornAt: 1,
  address: '10.0.0.1:1',
  pool: POOL as never,
  zone: 'z' as never,
  room: {cpuMillis: WORKER_CPU_MILLIS, memMb: workerMemMb, gpus: 0},
  labels: [],
  isDraining: false,
  remainingMs: 0,
  sequence: 1,
});

/** Configuration with one queue for each kind of workflow. */
export const makeBundle = ({kinds}: LoadPattern): Bundle =>
  ({
    version: 1,
    queues: kinds.map(kind => ({
      name: kind.name,
      host: 'host',
      prefix: `/${kind.name}/`,
      pool: POOL,
      priority: kind.priority,
      maxAttempts: 3,
      stretch: kind.stretch,
      objectiveMs: kind.objectiveMs,
      advice: kind.advice,
    })),
    pools: [{name: POOL}],
    limits: {},
    source: '{}',
  }) as never as Bundle;
