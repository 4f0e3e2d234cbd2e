import {expect} from 'chai';
import {TestLog, testSpec, testStep} from '../fixtures.js';
import {plan} from './core.js';
import {inputOf} from './fixtures.js';

const SPEEDS = {w1: 0.7, w2: 1.7, w3: 0.7, w4: 1.7};

/** Workers whose speeds are known for sure. */
const makeLog = (speeds: Record<string, number> = SPEEDS): TestLog => {
  const log = new TestLog();
  for (const worker of Object.keys(speeds)) log.addWorker(worker);
  log.db.estimates.speeds.restore({
    workers: Object.entries(speeds).map(([worker, speed]) => {
      return [worker as never, 1, Math.log(speed), 1000, 0, 0] as const;
    }),
    noise: 0.01,
  });
  return log;
};

const workersOf = (log: TestLog, wall: number): string[] =>
  plan(inputOf(log, {wall})).starts.map(({worker}) => worker);

/** Accepted at 1000 and due at 3500, with 1000 ms of work. */
const JOB = testSpec([testStep({room: room(3000)})]);

function room(cpuMillis: number) {
  return {cpuMillis, memMb: 100, gpus: 0};
}

describe('score for speeds', () => {
  it('work with little time left goes to a fast worker', () => {
    const log = makeLog();
    log.submit('job', JOB);
    expect(workersOf(log, 2000)).to.eql(['w2']);
  });
  it('work with slack, or late on any worker, goes to a slow one', () => {
    for (const wall of [-3000, 3300]) {
      const log = makeLog({w2: 1.7, w1: 0.7});
      log.submit('job', JOB);
      expect(workersOf(log, wall)).to.eql(['w1']);
    }
  });
  it('no worker is left idle while work waits', () => {
    const log = makeLog();
    for (let i = 0; i < 6; i++) log.submit(`job${i}`, JOB);
    expect(workersOf(log, 2000).sort()).to.eql(['w1', 'w2', 'w3', 'w4']);
  });
  it('a gang runs on fast workers only if all its members fit there', () => {
    const gang = (taskCount: number) =>
      testSpec([testStep({taskCount, isGang: true, room: room(3000)})]);
    const fits = makeLog();
    fits.submit('gang', gang(2));
    expect(workersOf(fits, 2000).sort()).to.eql(['w2', 'w4']);
    const mixed = makeLog({w2: 1.7, w1: 0.7, w3: 0.7, w5: 0.7});
    mixed.submit('gang', gang(3));
    expect(workersOf(mixed, 2000).sort()).to.eql(['w1', 'w3', 'w5']);
  });
  it('speeds that differ by less than 30 % do not change where work runs', () => {
    const log = makeLog({w1: 0.95, w2: 1.2});
    log.submit('job', JOB);
    expect(workersOf(log, 2000)).to.eql(['w1']);
    expect(plan(inputOf(log)).starts[0]).to.not.have.property('expected');
  });
});
