import {expect} from 'chai';
import fc from 'fast-check';
import {CustomerUsage} from './customer_usage.js';
import {WorkflowDb} from './db.js';
import {TestLog, testSpec, testStep, testTask} from './fixtures.js';
import type {WorkflowCommand} from './commands.js';
import type {TaskRef, WorkflowId} from './types.js';

const WORKERS = ['w0', 'w1', 'w2'] as never[];
const CUSTOMERS = ['a', 'b', undefined] as never[];

const spec = testSpec([
  testStep({taskCount: 3, isSpeculative: true}),
  testStep({taskCount: 2, isGang: true, room: roomOf(2000, 300)}),
  testStep({usesLeftover: true, room: roomOf(500, 50)}),
  testStep({isLongRunning: true, room: roomOf(100, 10)}),
]);

function roomOf(cpuMillis: number, memMb: number) {
  return {cpuMillis, memMb, gpus: 0};
}

const taskOf = fc.record({
  workflow: fc.constantFrom('x', 'y', 'z').map(id => id as WorkflowId),
  occurrence: fc.constant(0),
  step: fc.nat(3),
  index: fc.nat(2),
});
const runOf = fc.record({task: taskOf, run: fc.integer({min: 1, max: 3})});
const lifeOf = fc.record({
  worker: fc.constantFrom(...WORKERS),
  bornAt: fc.integer({min: 1, max: 2}),
});
const outcomeOf = fc.constantFrom('done', 'failed', 'stopped', 'lapsed');

const commandOf: fc.Arbitrary<WorkflowCommand> = fc.oneof(
  fc
    .record({task: taskOf, customer: fc.constantFrom(...CUSTOMERS)})
    .map(({task, customer}) => submit(task.workflow, customer)),
  fc.record({run: runOf, life: lifeOf}).map(({run, life}): WorkflowCommand => ({
    kind: 'start_runs',
    starts: [{...run, ...life}],
  })),
  fc
    .record({run: runOf, life: lifeOf, outcome: outcomeOf})
    .map(({run, life, outcome}): WorkflowCommand => ({
      kind: 'end_runs',
      life,
      ends: [{...run, outcome, checkpoint: '', sequence: ++sequence} as never],
      at: 2000,
    })),
  fc.record({run: runOf, life: lifeOf}).map(({run, life}): WorkflowCommand => ({
    kind: 'void_runs',
    life,
    runs: [{...run, checkpoint: ''}],
    reason: 'lease_lapsed',
  })),
  lifeOf.map((life): WorkflowCommand => ({
    kind: 'remove_worker',
    life,
    runs: [],
  })),
  lifeOf.map(({worker, bornAt}) => putWorker(worker, bornAt)),
  taskOf.map(({workflow}): WorkflowCommand => ({
    kind: 'cancel',
    id: workflow,
    at: 1500,
  })),
);

let sequence = 0;

const submit = (id: WorkflowId, customer: never): WorkflowCommand => ({
  kind: 'submit',
  id,
  queue: 'queue' as never,
  spec,
  at: 1000,
  ...(customer !== undefined && {customer}),
});

const putWorker = (worker: string, bornAt: number): WorkflowCommand => {
  const log = new TestLog();
  log.addWorker(worker, {bornAt});
  return {
    kind: 'put_worker',
    report: log.db.workers.get(worker as never)!.report,
  };
};

const countAgain = (db: WorkflowDb) => {
  const usage = new CustomerUsage();
  usage.recount(db.workflows.values());
  return new Map(usage.entries());
};

describe('usage of customers', () => {
  // Guards against totals that drift from the runs: a cap would then be
  // exceeded, or leave a customer out for good.
  it('totals equal a recount after any records, and after an image', () => {
    fc.assert(
      fc.property(fc.array(commandOf, {maxLength: 120}), commands => {
        const log = new TestLog();
        for (const worker of WORKERS) log.addWorker(worker);
        for (const id of ['x', 'y', 'z'] as WorkflowId[])
          log.apply(submit(id, (id === 'z' ? 'b' : 'a') as never));
        for (const command of commands) {
          log.apply(command);
          const totals = new Map(log.db.usage.entries());
          expect(totals).to.eql(countAgain(log.db));
        }
        const restored = new WorkflowDb();
        restored.restore(log.db.toImage());
        expect(new Map(restored.usage.entries())).to.eql(
          new Map(log.db.usage.entries()),
        );
      }),
      {seed: 8101, numRuns: 300},
    );
  });
  it('leftover tasks count as declared, and hold nothing of their queue', () => {
    const log = new TestLog();
    log.addWorker('w0');
    log.apply(submit('x' as WorkflowId, 'a' as never));
    for (const step of [0, 2, 3])
      log.start('w0', testTask('x', step, 0) as TaskRef);
    const {declared, lasting, heldByQueue, runs} = log.db.usage.of(
      'a' as never,
    );
    expect(runs).to.equal(3);
    expect(declared).to.eql(roomOf(1600, 160));
    expect(lasting).to.eql(roomOf(100, 10));
    expect([...heldByQueue.values()]).to.eql([roomOf(1100, 110)]);
  });
});
