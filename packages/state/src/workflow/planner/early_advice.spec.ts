import {expect} from 'chai';
import type {Queue} from '../../bundle/types.js';
import type {WorkerId} from '../../ids/types.js';
import {testQueue} from '../../bundle/fixtures.js';
import {TestLog, testCustomer, testSpec, testStep} from '../fixtures.js';
import type {WorkflowId, WorkflowSpec} from '../types.js';
import {earlyAdviceRequests} from './early_advice.js';

const ADVISED = testQueue({
  advice: {baseMs: 9, perWorkerMs: 0.13, validMs: 2500},
});

/** Workers that are asked about, for each step of a workflow that is not recorded. */
const requestsFor = (
  spec: WorkflowSpec,
  {queue = ADVISED, unusable = []}: {queue?: Queue; unusable?: string[]} = {},
) => {
  const log = new TestLog();
  log.addWorker('w1');
  log.addWorker('w2', {labels: ['other']});
  log.addWorker('elsewhere', {pool: 'other' as never});
  const known = {db: log.db, unusable: new Set(unusable as WorkerId[])};
  const workflow = {id: 'a' as WorkflowId, queue, spec};
  return earlyAdviceRequests(known, workflow).map(({step, workers}) => [
    step.step,
    [...workers].sort(),
  ]);
};

describe('early advice', () => {
  it('the steps that can start at once are asked about, with the workers of the pool', () => {
    const spec = testSpec([testStep(), testStep({after: [0]}), testStep()]);
    expect(requestsFor(spec)).to.eql([
      [0, ['w1', 'w2']],
      [2, ['w1', 'w2']],
    ]);
  });
  it('unusable workers and those without the label of a step are left out', () => {
    const spec = testSpec([testStep({requiredLabel: 'other'})]);
    expect(requestsFor(spec)).to.eql([[0, ['w2']]]);
    expect(requestsFor(spec, {unusable: ['w2']})).to.eql([]);
  });
  it('a queue without an adviser, and a workflow that is due later, ask for nothing', () => {
    const spec = testSpec([testStep()]);
    expect(requestsFor(spec, {queue: testQueue({})})).to.eql([]);
    expect(requestsFor({...spec, firstDueAt: 5000})).to.eql([]);
  });
  it('nothing is asked for what the cap of the customer forbids', () => {
    const cap = {cpuMillis: 2000, memMb: 0, gpus: 0};
    const log = new TestLog({customers: [testCustomer('a', {cap})]});
    log.addWorker('w1');
    const askedSteps = (taskCount: number) =>
      earlyAdviceRequests(
        {db: log.db, unusable: new Set()},
        {
          id: 'new' as WorkflowId,
          queue: ADVISED,
          spec: testSpec([testStep({taskCount, isGang: true}), testStep()]),
          customer: 'a' as never,
        },
      ).map(({step}) => step.step);
    expect(askedSteps(2)).to.eql([0, 1]);
    expect(askedSteps(3)).to.eql([1]);
  });
});
