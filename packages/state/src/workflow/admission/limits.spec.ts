import {expect} from 'chai';
import {testQueue} from '../../bundle/fixtures.js';
import {TestLog, testCustomer, testSpec, testStep} from '../fixtures.js';
import {decideAdmission} from './core.js';
import type {Resources, StepSpec} from '../types.js';
import {findExceededCap, findExceededLimit} from './limits.js';

describe('limits of one workflow', () => {
  it('a huge estimate in one queue does not block the admission of others', () => {
    const log = new TestLog({
      queues: [
        testQueue({name: 'loud', prefix: '/loud/', priority: 0}),
        testQueue({name: 'quiet', prefix: '/quiet/', priority: 0}),
      ],
    });
    log.addWorker('w1');
    const huge = testSpec([testStep({estimateMs: 1e12})]);
    const [loud, quiet] = ['loud', 'quiet'].map(name =>
      log.db.queues.get(name as never)!,
    );
    const isAdmitted =
      findExceededLimit(huge) === undefined &&
      decideAdmission(log.db, loud!, huge).kind === 'admit';
    if (isAdmitted) log.submit('a', huge, 'loud');
    const other = testSpec([testStep()]);
    expect(decideAdmission(log.db, quiet!, other).kind).to.equal('admit');
  });
  it('the limit on tasks applies to all occurrences together', () => {
    const spec = testSpec([testStep({taskCount: 20_000})], {
      occurrences: 10_000,
      firstDueAt: 1,
      intervalMs: 1,
    });
    expect(findExceededLimit(spec)).to.not.equal(undefined);
  });
  it('the limit on steps applies to all occurrences together', () => {
    const steps = Array.from({length: 1000}, () => testStep());
    const spec = testSpec(steps, {occurrences: 10_000, firstDueAt: 1});
    expect(findExceededLimit(spec)).to.not.equal(undefined);
  });
  // Guards against work that would wait for good.
  it('a task or gang over the cap is named, with the dimension', () => {
    const exceeded = (step: Partial<StepSpec>, cap: Partial<Resources>) =>
      findExceededCap(
        testSpec([testStep(step)]),
        testCustomer('a', {cap: {cpuMillis: 0, memMb: 0, gpus: 0, ...cap}}),
      );
    const gang = {taskCount: 4, isGang: true};
    expect(exceeded(gang, {cpuMillis: 3999})).to.equal(
      'step 0 needs 4000 thousandths of a core at once; the cap of customer a is 3999',
    );
    expect(exceeded(gang, {cpuMillis: 4000})).to.equal(undefined);
    expect(exceeded({taskCount: 50}, {cpuMillis: 1000})).to.equal(undefined);
    expect(exceeded({}, {memMb: 99})).to.match(/MB of memory/);
    expect(exceeded({}, {gpus: 1})).to.equal(undefined);
  });
});
