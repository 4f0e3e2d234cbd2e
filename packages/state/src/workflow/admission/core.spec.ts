import {expect} from 'chai';
import {testQueue} from '../../bundle/fixtures.js';
import {TestLog, testSpec, testStep} from '../fixtures.js';
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
});
