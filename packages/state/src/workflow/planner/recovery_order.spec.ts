import {expect} from 'chai';
import {testQueue} from '../../bundle/fixtures.js';
import {customerBundle, submitOf} from '../admission/fixtures.js';
import {WorkflowDb} from '../db.js';
import {TestLog, testSpec, testStep} from '../fixtures.js';
import {plan} from './core.js';
import {inputOf} from './fixtures.js';

const ONE = testSpec([testStep()]);
/** Allows five seconds, so that all accepted work can still be in time. */
const QUEUE = testQueue({objectiveMs: 3000});
const OUTAGE_MS = 1200;

describe('the first passes of a new leader', () => {
  it('start accepted work before new submissions take its room', () => {
    const before = new TestLog(customerBundle({acme: 1}, [QUEUE]));
    before.addWorker('w1');
    for (let i = 0; i < 10; i++)
      before.apply(submitOf(`old${i}`, {spec: ONE, at: 1000 + i}));
    const log = new TestLog();
    (log as {db: WorkflowDb}).db = new WorkflowDb();
    log.db.restore(before.db.toImage());
    const started: string[] = [];
    let submitted = 0;
    // New submissions arrive faster than the worker of four cores serves them.
    for (let wall = 1000 + OUTAGE_MS; started.length < 20; wall += 500) {
      for (const id of started.slice(-4))
        log.apply({kind: 'cancel', id: id as never, at: wall});
      for (let i = 0; i < 6; i++)
        log.apply(submitOf(`new${submitted++}`, {spec: ONE, at: wall}));
      const {starts} = plan(inputOf(log, {wall, now: wall}));
      for (const {task} of starts) started.push(task.workflow);
    }
    expect(started.slice(0, 10)).to.eql(
      Array.from({length: 10}, (_, i) => `old${i}`),
    );
  });
});
