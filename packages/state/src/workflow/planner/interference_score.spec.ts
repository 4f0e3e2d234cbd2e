import {expect} from 'chai';
import {TestLog, testSpec, testStep, testTask} from '../fixtures.js';
import {plan} from './core.js';
import {EARLY, inputOf, pendingOn} from './fixtures.js';
import {taskKey} from '../refs.js';

const room = (cpuMillis: number) => ({cpuMillis, memMb: 100, gpus: 0});
const VICTIM = testStep({image: 'victim', room: room(1000)});
const LOUD = testStep({image: 'loud', room: room(3000)});

/** Best fit puts a victim beside the loud task on `w1`. */
const makeLog = (mean = Math.log(1.5)): TestLog => {
  const log = new TestLog();
  for (const worker of ['w1', 'w2']) log.addWorker(worker);
  if (mean > 0) learn(log, mean);
  log.submit('loud', testSpec([LOUD]));
  log.start('w1', testTask('loud', 0, 0));
  return log;
};

const learn = (log: TestLog, mean: number): void => {
  const state = {mean, variance: 0.01, weight: 20, slowed: 20, at: 1000};
  const pair = {...state, workers: [], counts: true};
  log.db.interference.pairs.restore([
    ['@victim' as never, '@loud' as never, pair],
    ['@loud' as never, '@victim' as never, pair],
  ]);
};

const workersOf = (log: TestLog, part = {}): string[] =>
  plan(inputOf(log, {...EARLY, ...part})).starts.map(({worker}) => worker);

describe('score for interference', () => {
  it('a task is kept away from a worker where it would be disturbed', () => {
    for (const [mean, worker] of [
      [0, 'w1'],
      [Math.log(1.5), 'w2'],
    ] as const) {
      const log = makeLog(mean);
      log.submit('job', testSpec([VICTIM]));
      expect(workersOf(log)).to.eql([worker]);
    }
  });
  it('a task is kept away from a worker where it would disturb', () => {
    const log = makeLog();
    log.submit('job', testSpec([{...VICTIM, room: room(1500)}]));
    log.start('w2', testTask('job', 0, 0));
    log.addWorker('w0');
    log.submit('loud2', testSpec([{...LOUD, room: room(2000)}]));
    expect(workersOf(log)).to.eql(['w0']);
  });
  it('starts that are not recorded yet, or of the same pass, are neighbours', () => {
    const log = makeLog();
    log.submit('loud2', testSpec([{...LOUD, room: room(2900)}]));
    log.addWorker('w0');
    log.submit('job', testSpec([VICTIM]));
    const pending = pendingOn('w2', [taskKey(testTask('loud2', 0, 0))]);
    expect(workersOf(log, {pending})).to.eql(['w0']);
    expect(workersOf(log).sort()).to.eql(['w0', 'w2']);
  });
  it('no room is left empty while work waits', () => {
    const log = makeLog();
    log.submit('job', testSpec([{...VICTIM, taskCount: 9}]));
    expect(workersOf(log).sort()).to.eql(['w1', 'w2', 'w2', 'w2', 'w2']);
  });
  it('data and racks matter more', () => {
    const log = makeLog(Math.log(2));
    log.addWorker('w2', {labels: ['kind', 'rack-2'], sequence: 2});
    log.submit('quiet', testSpec([{...LOUD, image: 'quiet'}]));
    log.start('w2', testTask('quiet', 0, 0));
    log.submit('job', testSpec([{...VICTIM, preferredRack: 'rack-1'}]));
    expect(workersOf(log)).to.eql(['w1']);
  });
  it('a pair that was last seen long ago is forgotten', () => {
    const log = makeLog();
    log.submit('job', testSpec([VICTIM]));
    expect(workersOf(log, {wall: 1000 + 150_000})).to.eql(['w1']);
  });
});
