import {expect} from 'chai';
import {
  TestLog,
  testSpec,
  testStep,
  testTask,
  testWorker,
} from '../fixtures.js';
import type {StepSpec} from '../types.js';
import {plan} from './core.js';
import {EARLY, inputOf} from './fixtures.js';

/**
 * A draining worker that runs two tasks of a step, and a healthy one with a
 * third.
 */
const drainingLog = (step: Partial<StepSpec>, remainingMs: number): TestLog => {
  const log = new TestLog();
  log.addWorker('w1');
  log.addWorker('w2');
  log.submit('a', testSpec([testStep({taskCount: 3, ...step})]));
  log.start('w1', testTask('a', 0, 0));
  log.start('w1', testTask('a', 0, 1));
  log.start('w2', testTask('a', 0, 2));
  const report = testWorker('w1', {isDraining: true, remainingMs});
  log.apply({kind: 'put_worker', report});
  return log;
};
const evacuatedTasks = (log: TestLog, remaining?: number): number[] =>
  plan(inputOf(log, {...EARLY, remainingMs: () => remaining}))
    .stops.filter(({why}) => why === 'evacuated')
    .map(({task}) => task.index);

describe('evacuation', () => {
  it('runs that save checkpoints are evacuated from a draining worker', () => {
    const log = drainingLog({isCheckpointable: true}, 500);
    expect(evacuatedTasks(log, 2000)).to.eql([0, 1]);
  });
  it('runs that end before the worker leaves are not evacuated', () => {
    const log = drainingLog({isCheckpointable: true}, 5000);
    expect(evacuatedTasks(log, 2000)).to.eql([]);
  });
  it('an unknown remaining time is replaced by the estimate', () => {
    const log = drainingLog({isCheckpointable: true, estimateMs: 9000}, 5000);
    expect(evacuatedTasks(log)).to.eql([0, 1]);
  });
  it('runs without checkpoints are not evacuated', () => {
    expect(evacuatedTasks(drainingLog({}, 500), 2000)).to.eql([]);
  });
  it('a gang is evacuated as a whole', () => {
    const step = {isCheckpointable: true, isGang: true};
    expect(evacuatedTasks(drainingLog(step, 500), 2000)).to.eql([0, 1, 2]);
  });
});
