import {expect} from 'chai';
import {testBundle, testKeyedCustomer, testDigest} from '../bundle/fixtures.js';
import {reportCustomers} from './customer_report.js';
import {TestLog, testSpec, testStep, testTask} from './fixtures.js';
import {plannerImage} from './journal/core.js';

const ROOM = {cpuMillis: 100, memMb: 10, gpus: 0};

/** Customer `a` with a running and a waiting workflow, and `b` with none. */
const makeLog = (): TestLog => {
  const log = new TestLog({
    customers: [
      testKeyedCustomer('a', ['secret', 'other']),
      testKeyedCustomer('b', []),
    ],
    source: 'secret',
  });
  log.addWorker('w1');
  for (const id of ['x', 'y'])
    log.apply({
      kind: 'submit',
      id: id as never,
      queue: 'queue' as never,
      spec: testSpec([testStep({taskCount: 2, room: ROOM})]),
      at: 1000,
      customer: 'a' as never,
    });
  log.start('w1', testTask('x', 0, 0));
  log.start('w1', testTask('x', 0, 1));
  return log;
};

describe('report on customers', () => {
  it('tells runs and workflows of each customer, and no key', () => {
    const [a, b] = reportCustomers(makeLog().db);
    expect(a).to.deep.include({name: 'a', keyCount: 2, waiting: 1, running: 1});
    expect(a?.used).to.eql({cpuMillis: 200, memMb: 20, gpus: 0});
    expect(b).to.deep.include({name: 'b', keyCount: 0, waiting: 0, running: 0});
    expect(JSON.stringify([a, b])).not.to.contain(testDigest('secret'));
  });
  it('a customer that the bundle dropped is shown while it has work', () => {
    const log = makeLog();
    const bundle = testBundle({version: 2, customers: []});
    log.apply({kind: 'put_bundle', bundle});
    const [a, ...rest] = reportCustomers(log.db);
    expect(a).to.deep.include({isInForce: false, keyCount: 0, running: 1});
    expect(rest).to.eql([]);
  });
  // Guards against keys in the journal, which is served on the metrics port.
  it('the image in a journal has no key and no digest', () => {
    const text = JSON.stringify(plannerImage(makeLog().db, new Map()));
    expect(text).to.contain('"name":"a"');
    expect(text).not.to.contain('secret');
    expect(text).not.to.contain(testDigest('secret'));
  });
});
