import {expect} from 'chai';
import {testQueue} from '../../bundle/fixtures.js';
import {TestLog, testSpec, testStep, testTask} from '../fixtures.js';
import {taskKey} from '../refs.js';
import {plan} from './core.js';
import {inputOf, pendingOn} from './fixtures.js';

describe('planner', () => {
  it('the limit of tasks per worker counts pending starts', () => {
    const log = new TestLog();
    log.addWorker('w1');
    log.submit('a', testSpec([testStep({taskCount: 4, maxPerWorker: 2})]));
    const pending = pendingOn('w1', [
      taskKey(testTask('a', 0, 0)),
      taskKey(testTask('a', 0, 1)),
    ]);
    expect(plan(inputOf(log, {pending})).starts).to.have.length(0);
  });
  it('the limit of tasks per worker counts recorded runs', () => {
    const log = new TestLog();
    log.addWorker('w1');
    log.submit('a', testSpec([testStep({taskCount: 4, maxPerWorker: 2})]));
    log.start('w1', testTask('a', 0, 0));
    expect(plan(inputOf(log)).starts).to.have.length(1);
  });
  it('a step starts only after its predecessors are done', () => {
    const log = new TestLog();
    log.addWorker('w1');
    log.submit('a', testSpec([testStep(), testStep({after: [0]})]));
    expect(plan(inputOf(log)).starts.map(({task}) => task.step)).to.eql([0]);
    log.start('w1', testTask('a', 0, 0));
    log.end('w1', testTask('a', 0, 0), 'done');
    expect(plan(inputOf(log)).starts.map(({task}) => task.step)).to.eql([1]);
  });
  it('a gang starts whole or not at all', () => {
    const log = new TestLog();
    log.addWorker('w1');
    log.submit('a', testSpec([testStep({taskCount: 5, isGang: true})]));
    expect(plan(inputOf(log)).starts).to.have.length(0);
    log.addWorker('w2');
    const {starts} = plan(inputOf(log));
    expect(starts).to.have.length(5);
    expect(new Set(starts.map(({run}) => run))).to.eql(new Set([1]));
  });
  it('the other members of a gang are stopped when one has failed', () => {
    const log = new TestLog();
    log.addWorker('w1');
    log.submit('a', testSpec([testStep({taskCount: 2, isGang: true})]));
    log.start('w1', testTask('a', 0, 0));
    log.start('w1', testTask('a', 0, 1));
    expect(plan(inputOf(log)).stops).to.have.length(0);
    log.end('w1', testTask('a', 0, 0), 'failed');
    expect(plan(inputOf(log)).stops.map(({why}) => why)).to.eql([
      'gang_broken',
    ]);
  });
  it('runs of a cancelled workflow are stopped', () => {
    const log = new TestLog();
    log.addWorker('w1');
    log.submit('a', testSpec([testStep()]));
    log.start('w1', testTask('a', 0, 0));
    log.apply({kind: 'cancel', id: 'a' as never, at: 3000});
    const {starts, stops} = plan(inputOf(log));
    expect(starts).to.have.length(0);
    expect(stops.map(({why}) => why)).to.eql(['workflow_ended']);
  });
  it('no task starts on a draining worker', () => {
    const log = new TestLog();
    log.addWorker('w1', {isDraining: true});
    log.submit('a', testSpec([testStep()]));
    expect(plan(inputOf(log)).starts).to.have.length(0);
  });
  it('no task starts on a worker without the required label', () => {
    const log = new TestLog();
    log.addWorker('w1', {labels: ['other']});
    log.submit('a', testSpec([testStep({requiredLabel: 'kind'})]));
    expect(plan(inputOf(log)).starts).to.have.length(0);
  });
  it('resources are reserved for a waiting gang against a stream of small tasks', () => {
    const log = new TestLog({
      queues: [
        testQueue({name: 'wide', prefix: '/wide/', priority: 1}),
        testQueue({name: 'small', prefix: '/small/', priority: 2}),
      ],
    });
    log.addWorker('w1');
    log.submit('old', testSpec([testStep({taskCount: 2})]), 'small');
    log.start('w1', testTask('old', 0, 0));
    log.start('w1', testTask('old', 0, 1));
    const gang = testStep({taskCount: 4, isGang: true});
    log.submit('gang', testSpec([gang]), 'wide');
    log.submit('new', testSpec([testStep({taskCount: 9})]), 'small');
    expect(plan(inputOf(log)).starts).to.have.length(0);
    log.end('w1', testTask('old', 0, 0), 'done');
    expect(plan(inputOf(log)).starts).to.have.length(0);
    log.end('w1', testTask('old', 0, 1), 'done');
    const {starts} = plan(inputOf(log));
    expect(starts.map(({task}) => task.workflow)).to.eql(Array(4).fill('gang'));
  });
  it('no resources are reserved for a gang that could never fit', () => {
    const log = new TestLog();
    log.addWorker('w1');
    log.submit('gang', testSpec([testStep({taskCount: 5, isGang: true})]));
    log.submit('small', testSpec([testStep()]));
    expect(plan(inputOf(log)).starts).to.have.length(1);
  });
  it('workers with a valid ticket are preferred to those with an expired one', () => {
    const advice = {baseMs: 1, perWorkerMs: 1, validMs: 1000};
    const log = new TestLog({queues: [testQueue({advice})]});
    for (const worker of ['w1', 'w2', 'w3']) log.addWorker(worker);
    log.submit('a', testSpec([testStep({taskCount: 2, isGang: true})]));
    const ticket = (validUntil: number) => ({bornAt: 1, text: 't', validUntil});
    const all = new Set(['w1', 'w2', 'w3'] as never[]);
    const adviceOf = () => ({
      asked: all,
      allowed: all,
      tickets: new Map([
        ['w1' as never, ticket(0)],
        ['w2' as never, ticket(9000)],
        ['w3' as never, ticket(0)],
      ]),
      isAsking: false,
    });
    const {starts} = plan(inputOf(log, {adviceOf}));
    expect(starts.map(({worker}) => worker)).to.eql(['w2', 'w2']);
  });
  it('an adviser is queried about as many workers as a step needs', () => {
    const advice = {baseMs: 12, perWorkerMs: 1, validMs: 1000};
    const log = new TestLog({queues: [testQueue({advice})]});
    for (let i = 0; i < 90; i++) log.addWorker(`w${i}`);
    log.submit('a', testSpec([testStep({taskCount: 2})]));
    log.submit('b', testSpec([testStep({taskCount: 90})]));
    const asked = plan(inputOf(log)).advice.map(({workers}) => workers.length);
    expect(asked[0]).to.equal(12);
    expect(asked[1]).to.be.greaterThan(70);
  });
  it('a call with a long fixed duration names at most 36 workers for a small step', () => {
    const advice = {baseMs: 70, perWorkerMs: 1, validMs: 1000};
    const log = new TestLog({queues: [testQueue({advice})]});
    for (let i = 0; i < 90; i++) log.addWorker(`w${i}`);
    log.submit('a', testSpec([testStep({taskCount: 2})]));
    const asked = plan(inputOf(log)).advice.map(({workers}) => workers.length);
    expect(asked).to.eql([36]);
  });
  it('tasks of higher priority avoid workers reserved for a gang', () => {
    const log = new TestLog({
      queues: [
        testQueue({name: 'urgent', prefix: '/urgent/', priority: 0}),
        testQueue({name: 'wide', prefix: '/wide/', priority: 1}),
      ],
    });
    for (const worker of ['w1', 'w2', 'w3']) log.addWorker(worker);
    for (const [i, worker] of ['w1', 'w2', 'w3'].entries()) {
      log.submit(`old${i}`, testSpec([testStep()]), 'urgent');
      log.start(worker, testTask(`old${i}`, 0, 0));
    }
    const gang = testStep({
      taskCount: 4,
      isGang: true,
      room: {cpuMillis: 2000, memMb: 100, gpus: 0},
    });
    log.submit('gang', testSpec([gang]), 'wide');
    const first = plan(inputOf(log));
    const kept = [...first.reserved.values()].flatMap(workers => [...workers]);
    expect(kept).to.have.length(2);
    log.submit('new', testSpec([testStep({taskCount: 3})]), 'urgent');
    const {starts} = plan(inputOf(log, {reserved: first.reserved}));
    expect(starts).to.have.length(3);
    for (const {worker} of starts) expect(kept).not.to.include(worker);
  });
  it('a waiting step has the reason why it waits', () => {
    const log = new TestLog();
    log.addWorker('w1');
    log.submit('gang', testSpec([testStep({taskCount: 5, isGang: true})]));
    log.submit('wide', testSpec([testStep({taskCount: 5})]));
    expect(plan(inputOf(log)).waits.map(({why}) => why)).to.eql([
      'never_fits_now',
      'room',
    ]);
  });
  it('a ticket renewal names at most 100 workers', () => {
    const advice = {baseMs: 10, perWorkerMs: 1, validMs: 2500};
    const log = new TestLog({queues: [testQueue({advice})]});
    const names = Array.from({length: 150}, (_, i) => `w${i}`);
    for (const name of names) log.addWorker(name);
    log.submit('a', testSpec([testStep({taskCount: 700})]));
    const all = new Set(names as never[]);
    const ticket = {bornAt: 1, text: 't', validUntil: 300};
    const adviceOf = () => ({
      asked: all,
      allowed: all,
      tickets: new Map([...all].map(name => [name, ticket])),
      isAsking: false,
    });
    const requests = plan(inputOf(log, {adviceOf})).advice;
    expect(requests.map(({workers}) => workers.length)).to.eql([100]);
  });
});
