import {expect} from 'chai';
import {TestLog, testSpec, testStep, testTask} from '../fixtures.js';
import {plan} from './core.js';
import {inputOf} from './fixtures.js';

/**
 * A worker of four cores, two of two cores in a second rack, and one of one
 * core in a third.
 */
const threeRackLog = (): TestLog => {
  const log = new TestLog();
  log.addWorker('a1', {rack: 'r1', room: roomOf(4)});
  log.addWorker('b1', {rack: 'r2', room: roomOf(2)});
  log.addWorker('b2', {rack: 'r2', room: roomOf(2)});
  log.addWorker('c1', {rack: 'r3', room: roomOf(1)});
  return log;
};

const roomOf = (cores: number) => ({
  cpuMillis: cores * 1000,
  memMb: cores * 100,
  gpus: 0,
});

const rackLocalStep = (taskCount: number, isGang: boolean) =>
  testStep({
    taskCount,
    isGang,
    isRackLocal: true,
    room: {cpuMillis: 1000, memMb: 100, gpus: 0},
  });

const racksOf = (log: TestLog): string[] =>
  plan(inputOf(log)).starts.map(
    ({worker}) => log.db.workers.get(worker)?.report.rack ?? '',
  );

describe('home rack', () => {
  it('a rack-local step stays within one rack', () => {
    for (const isGang of [true, false]) {
      const log = threeRackLog();
      log.submit('a', testSpec([rackLocalStep(4, isGang)]));
      expect(new Set(racksOf(log)).size).to.equal(1);
    }
  });
  it('a rack-local step stays in the rack where its tasks run', () => {
    const log = threeRackLog();
    log.submit('a', testSpec([rackLocalStep(3, false)]));
    log.start('a1', testTask('a', 0, 0));
    expect(racksOf(log)).to.eql(['r1', 'r1']);
  });
  it('a rack-local step that fits into no rack is spread at once', () => {
    const log = threeRackLog();
    log.submit('a', testSpec([rackLocalStep(7, true)]));
    expect(racksOf(log)).to.have.length(7);
  });
  it('a step that is not rack local is placed regardless of racks', () => {
    const log = threeRackLog();
    log.submit(
      'a',
      testSpec([{...rackLocalStep(4, false), isRackLocal: false}]),
    );
    expect(new Set(racksOf(log)).size).to.be.greaterThan(1);
  });
});
