import {expect} from 'chai';
import {testQueue} from '../../bundle/fixtures.js';
import type {QueueName} from '../../bundle/types.js';
import {seededRandom} from '../../utils/random.js';
import {WorkflowDb} from '../db.js';
import {TestLog, testSpec, testStep, testTask} from '../fixtures.js';
import {OpenWorkflows} from '../open_workflows.js';
import type {WorkflowSpec} from '../types.js';
import {decideAdmission} from './core.js';

/** Work of 40 core-seconds: ten seconds of the only worker. */
const HEAVY = testSpec([testStep({taskCount: 40})]);
const LIGHT = testSpec([testStep()]);

const makeLog = (): TestLog => {
  const log = new TestLog({
    queues: [
      testQueue({name: 'urgent', prefix: '/urgent/', priority: 0}),
      testQueue({name: 'patient', prefix: '/patient/', priority: 2}),
    ],
  });
  log.addWorker('w1');
  return log;
};

const decide = (log: TestLog, queue: string, spec: WorkflowSpec = LIGHT) =>
  decideAdmission(log.db, log.db.queues.get(queue as never)!, spec);

const fill = (log: TestLog, queue: string, count: number): void => {
  for (let i = 0; i < count; i++) log.submit(`${queue}${i}`, HEAVY, queue);
};

describe('admission', () => {
  it('work is admitted only while it can be done in useful time', () => {
    const log = makeLog();
    expect(decide(log, 'patient')).to.eql({kind: 'admit', expectedMs: 1000});
    fill(log, 'patient', 1);
    expect(decide(log, 'patient').kind).to.equal('refuse');
  });
  it('a refusal states when the backlog will have drained', () => {
    const log = makeLog();
    fill(log, 'patient', 1);
    // Ten seconds of backlog and one of work, against an objective of 2.5 s.
    expect(decide(log, 'patient')).to.eql({
      kind: 'refuse',
      expectedMs: 11_000,
      retryAfterMs: 8500,
    });
  });
  it('urgent work is not refused for a backlog of patient work', () => {
    const log = makeLog();
    fill(log, 'patient', 20);
    expect(decide(log, 'urgent').kind).to.equal('admit');
    fill(log, 'urgent', 2);
    expect(decide(log, 'urgent').kind).to.equal('refuse');
  });
  // Guards against a backlog that counts less urgent work: the accepted work of a
  // queue is an upper bound, beyond which the open workflows are counted.
  it('urgent work is not refused beside its own work that is done', () => {
    const log = makeLog();
    fill(log, 'patient', 20);
    fill(log, 'urgent', 1);
    for (let i = 0; i < 39; i++) {
      log.start('w1', testTask('urgent0', 0, i));
      log.end('w1', testTask('urgent0', 0, i), 'done');
    }
    // A quarter of a second of urgent work is left, and one of its own.
    expect(decide(log, 'urgent')).to.eql({kind: 'admit', expectedMs: 1250});
  });
  it('a burst is refused from some point on, until capacity is added', () => {
    const log = makeLog();
    const admitted: boolean[] = [];
    for (let i = 0; i < 60; i++) {
      const isAdmitted = decide(log, 'urgent').kind === 'admit';
      admitted.push(isAdmitted);
      if (isAdmitted) log.submit(`b${i}`, LIGHT, 'urgent');
    }
    expect(admitted.indexOf(false)).to.be.within(20, 40);
    log.addWorker('w2');
    expect(decide(log, 'urgent').kind).to.equal('admit');
  });
  it('a workflow with a long estimate may wait longer', () => {
    const log = makeLog();
    fill(log, 'patient', 2);
    const long = testSpec([testStep({estimateMs: 20_000})]);
    expect(decide(log, 'patient', long).kind).to.equal('admit');
  });
  it('a workflow with an estimate far below the mean of its queue is admitted', () => {
    const log = makeLog();
    const usual = testSpec([testStep({estimateMs: 5000})]);
    for (let i = 0; i < 8; i++) log.submit(`u${i}`, usual, 'patient');
    const far = testSpec([testStep({estimateMs: 100})]);
    // Ten seconds of backlog against three times 700 ms by its own estimate, or
    // 10.5 s by the mean of the queue.
    expect(decide(log, 'patient', far).kind).to.equal('admit');
  });
  it('timed work, long-running work, and work without any worker is admitted', () => {
    const log = makeLog();
    fill(log, 'patient', 20);
    const timed = testSpec([testStep()], {occurrences: 2, firstDueAt: 9000});
    expect(decide(log, 'patient', timed).kind).to.equal('admit');
    const lasting = testSpec([testStep({isLongRunning: true})]);
    expect(decide(log, 'patient', lasting).kind).to.equal('admit');
    const empty = new TestLog();
    expect(decide(empty, 'queue').kind).to.equal('admit');
  });
  it('a submission in a long queue is admitted without a walk over the open workflows', () => {
    const log = makeLog();
    for (let i = 0; i < 30; i++) log.addWorker(`more${i}`);
    for (let i = 0; i < 500; i++) log.submit(`o${i}`, LIGHT, 'patient');
    log.db.open.values = () => {
      throw new Error('the open workflows were walked');
    };
    expect(decide(log, 'urgent').kind).to.equal('admit');
    expect(decide(log, 'patient').kind).to.equal('admit');
  });
  it('totals of the open workflows stay those of the open workflows', () => {
    const log = makeLog();
    const random = seededRandom(11);
    const specs = [HEAVY, LIGHT, testSpec([testStep({estimateMs: 7300})])];
    for (let i = 0; i < 300; i++) {
      if (random.nextInt(0, 9) < 6)
        log.submit(`w${i}`, specs[i % 3]!, 'patient');
      else {
        const id = [...log.db.open.keys()][random.nextInt(0, 4)];
        if (id) log.apply({kind: 'cancel', id, at: 1000});
      }
    }
    const restored = new WorkflowDb();
    restored.restore(log.db.toImage());
    const queue = 'patient' as QueueName;
    expect(log.db.open.size).to.be.greaterThan(10);
    const expected = new OpenWorkflows();
    for (const [id, workflow] of log.db.open) expected.set(id, workflow);
    expect(log.db.open.workOf(queue)).to.eql(expected.workOf(queue));
    expect(restored.open.workOf(queue)).to.eql(expected.workOf(queue));
    for (const id of [...log.db.open.keys()])
      log.apply({kind: 'cancel', id, at: 1000});
    expect(log.db.open.workOf(queue)).to.eql({count: 0, chainMs: 0, work: 0});
  });
  it('a huge workflow that has come and gone leaves the totals exact', () => {
    const log = makeLog();
    for (let i = 0; i < 3; i++) log.submit(`u${i}`, HEAVY, 'patient');
    const queue = 'patient' as QueueName;
    const before = log.db.open.workOf(queue);
    for (const size of [1e12, 1e308]) {
      const room = {cpuMillis: size, memMb: 1, gpus: 0};
      const huge = testSpec([testStep({estimateMs: size, room})]);
      log.submit(`huge${size}`, huge, 'patient');
      log.apply({kind: 'cancel', id: `huge${size}` as never, at: 1000});
    }
    expect(log.db.open.workOf(queue)).to.eql(before);
  });
});
