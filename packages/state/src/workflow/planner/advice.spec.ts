import {expect} from 'chai';
import {testQueue} from '../../bundle/fixtures.js';
import {TestLog, testSpec, testStep} from '../fixtures.js';
import {plan} from './core.js';
import {inputOf} from './fixtures.js';

const WORKER_COUNT = 120;
const STEP_COUNT = 30;

describe('advice', () => {
  it('steps that wait in the same pass do not all query about the same workers', () => {
    const log = new TestLog({
      queues: [
        testQueue({advice: {baseMs: 7, perWorkerMs: 0.1, validMs: 2000}}),
      ],
    });
    for (let i = 0; i < WORKER_COUNT; i++) log.addWorker(`w${i}`);
    for (let i = 0; i < STEP_COUNT; i++)
      log.submit(`a${i}`, testSpec([testStep({taskCount: 2})]));
    const {advice} = plan(inputOf(log, {callerCount: 400}));
    expect(advice).to.have.length(STEP_COUNT);
    const named = new Set(advice.flatMap(({workers}) => workers));
    expect(named.size).to.be.at.least(0.9 * WORKER_COUNT);
  });
});
