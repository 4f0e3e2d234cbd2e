/** Test workflows and workers. */
import {testBundle, TEST_POOL} from '../bundle/fixtures.js';
import type {Bundle, Customer} from '../bundle/types.js';
import {WorkflowDb} from './db.js';
import {NO_RESOURCES} from './resources.js';
import type {WorkflowCommand} from './commands.js';
import type {
  RunEnd,
  StepSpec,
  TaskRef,
  WorkerRegistration,
  WorkflowId,
  WorkflowSpec,
} from './types.js';

/** A step with defaults for the fields that a test does not set. */
export const testStep = (part: Partial<StepSpec> = {}): StepSpec => ({
  taskCount: 1,
  room: {cpuMillis: 1000, memMb: 100, gpus: 0},
  estimateMs: 1000,
  after: [],
  isCheckpointable: false,
  isGang: false,
  isRackLocal: false,
  maxPerWorker: 0,
  isSpeculative: false,
  isLongRunning: false,
  latencyTargetMs: 0,
  usesLeftover: false,
  maxUnavailable: 0,
  ...part,
});

/** A workflow that runs once. */
export const testSpec = (
  steps: readonly StepSpec[],
  part: Partial<WorkflowSpec> = {},
): WorkflowSpec => ({
  payload: 'payload',
  steps,
  occurrences: 0,
  firstDueAt: 0,
  intervalMs: 0,
  ...part,
});

/** A worker of four cores in the pool of `testBundle`. */
export const testWorker = (
  worker: string,
  part: Partial<WorkerRegistration> = {},
): WorkerRegistration =>
  ({
    worker,
    bornAt: 1,
    address: '10.0.0.1:80',
    pool: TEST_POOL,
    zone: 'zone',
    room: {cpuMillis: 4000, memMb: 4000, gpus: 0},
    labels: ['kind', 'rack-1'],
    isDraining: false,
    remainingMs: 0,
    sequence: 1,
    ...part,
  }) as WorkerRegistration;

/** A customer without a cap, of weight 1. */
export const testCustomer = (
  name: string,
  part: Partial<Customer> = {},
): Customer =>
  ({
    name,
    keyDigests: [],
    priority: 1,
    weight: 1,
    cap: NO_RESOURCES,
    ...part,
  }) as Customer;

/** A task of the first occurrence. */
export const testTask = (
  workflow: string,
  step: number,
  index: number,
): TaskRef => ({workflow: workflow as WorkflowId, occurrence: 0, step, index});

/** A database that applies commands at consecutive log indexes. */
export class TestLog {
  readonly db = new WorkflowDb();
  private ends = 0;

  constructor(bundle: Partial<Bundle> = {}) {
    this.apply({kind: 'put_bundle', bundle: testBundle(bundle)});
  }

  apply(command: WorkflowCommand) {
    return this.db.apply(this.db.index + 1, command);
  }

  addWorker(worker: string, part: Partial<WorkerRegistration> = {}): void {
    this.apply({kind: 'put_worker', report: testWorker(worker, part)});
  }

  submit(id: string, spec: WorkflowSpec, queue = 'queue'): void {
    this.apply({
      kind: 'submit',
      id: id as WorkflowId,
      queue: queue as never,
      spec,
      at: 1000,
    });
  }

  start(worker: string, task: TaskRef, run = 1, bornAt = 1): void {
    this.apply({
      kind: 'start_runs',
      starts: [{task, run, worker: worker as never, bornAt}],
    });
  }

  end(
    worker: string,
    task: TaskRef,
    outcome: RunEnd['outcome'],
    {run = 1, checkpoint = '', bornAt = 1} = {},
  ): void {
    this.ends++;
    this.apply({
      kind: 'end_runs',
      life: {worker: worker as never, bornAt},
      ends: [{sequence: this.ends, task, run, outcome, checkpoint}],
      at: 2000,
    });
  }
}
