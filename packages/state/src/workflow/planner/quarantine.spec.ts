import {expect} from 'chai';
import {TestLog, testSpec, testStep, testTask} from '../fixtures.js';
import {plan} from './core.js';
import {inputOf} from './fixtures.js';

const SUSPECT = testTask('a', 0, 0);

/** A cell of two workers, after a crash under the only task of workflow a. */
const logWithSuspect = (): TestLog => {
  const log = new TestLog();
  log.submit('a', testSpec([testStep()]));
  log.addWorker('w0');
  startAt(log, 'w0', 'a', 1, 900);
  log.apply({
    kind: 'remove_worker',
    life: {worker: 'w0' as never, bornAt: 1},
    runs: [],
    crash: {at: 1000, heardAt: 950, togetherCount: 0},
  });
  log.addWorker('w1');
  log.addWorker('w2');
  return log;
};

const startAt = (
  log: TestLog,
  worker: string,
  workflow: string,
  run: number,
  at: number,
): void => {
  const start = {worker: worker as never, bornAt: 1, run};
  const task = testTask(workflow, 0, 0);
  log.apply({kind: 'start_runs', starts: [{...start, task}], at});
};

const startsOf = (log: TestLog, wall: number) =>
  plan(inputOf(log, {wall})).starts.map(({task, worker}) => [
    task.workflow,
    worker,
  ]);

describe('quarantine', () => {
  it('a suspect is not started beside another start, but where it harms nothing', () => {
    const log = logWithSuspect();
    log.submit('b', testSpec([testStep()]));
    startAt(log, 'w1', 'b', 1, 4900);
    expect(startsOf(log, 5000)).to.eql([['a', 'w2']]);
  });
  it('nothing is started beside a suspect that was just started', () => {
    const log = logWithSuspect();
    startAt(log, 'w1', 'a', 2, 4900);
    log.submit('b', testSpec([testStep({taskCount: 5})]));
    const workers = startsOf(log, 5000).map(([, worker]) => worker);
    expect(new Set(workers)).to.eql(new Set(['w2']));
    expect(startsOf(log, 6000).map(([, worker]) => worker)).to.include('w1');
  });
  it('a suspect that finds no quiet worker waits, and keeps one free of starts', () => {
    const log = logWithSuspect();
    for (const [id, worker] of [
      ['b', 'w1'],
      ['c', 'w2'],
    ] as const) {
      log.submit(id, testSpec([testStep()]));
      startAt(log, worker, id, 1, worker === 'w1' ? 4500 : 4900);
    }
    log.submit('d', testSpec([testStep()]));
    const {starts, waits} = plan(inputOf(log, {wall: 5000}));
    expect(waits.map(({why}) => why)).to.eql(['quarantine']);
    expect(starts.map(({worker}) => worker)).to.eql(['w2']);
    expect(startsOf(log, 5600)).to.deep.include(['a', 'w1']);
  });
  it('a snapshot plans a suspect as the log does', () => {
    const log = logWithSuspect();
    const copy = new TestLog();
    copy.db.restore(log.db.toImage());
    expect(startsOf(copy, 5000)).to.eql(startsOf(log, 5000));
    expect(log.db.crashes.unitOf(SUSPECT)).to.equal('a.0.0.0');
  });
});
