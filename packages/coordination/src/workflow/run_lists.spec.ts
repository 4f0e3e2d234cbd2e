import {expect} from 'chai';
import {taskKey, type TaskRef} from '@primrosewick/state';
import {ResponseMonitor} from './response_monitor.js';
import {compareLists} from './run_lists.js';
import {StartLedger} from './start_ledger.js';

const task = (index: number): TaskRef =>
  ({workflow: 'a', occurrence: 0, step: 0, index}) as never;
const run = (index: number, number = 1) => ({task: task(index), run: number});
const listed = (index: number, number = 1) => ({
  ...run(index, number),
  checkpoint: '',
  percent: 0,
  load: 0,
});
const active = (...runs: Array<ReturnType<typeof run>>) =>
  new Map(runs.map(entry => [taskKey(entry.task), entry]));

describe('run lists', () => {
  it('a recorded run that is not listed is missing', () => {
    const found = compareLists(
      active(run(0), run(1)),
      [listed(0)],
      new StartLedger(),
      0,
    );
    expect(found.missing).to.eql([run(1)]);
    expect(found.unrecorded).to.eql([]);
  });
  it('a run whose start is in flight is not missing', () => {
    const starts = new StartLedger();
    starts.expect(task(1), 1);
    const found = compareLists(active(run(1)), [], starts, 0);
    expect(found.missing).to.eql([]);
  });
  it('a listed run that is not recorded is found', () => {
    const found = compareLists(
      active(run(0, 2)),
      [listed(0, 1), listed(3)],
      new StartLedger(),
      0,
    );
    expect(found.unrecorded.map(({task: {index}}) => index)).to.eql([0, 3]);
    expect(found.missing).to.eql([run(0, 2)]);
  });
});

describe('response monitor', () => {
  it('a worker is suspect while its oldest order stays unanswered for too long', () => {
    const watch = new ResponseMonitor();
    const settle = watch.begin(0);
    watch.begin(200)();
    expect(watch.isSuspect(200)).to.equal(false);
    expect(watch.isSuspect(300)).to.equal(true);
    settle();
    expect(watch.isSuspect(300)).to.equal(false);
  });
});
