import {expect} from 'chai';
import {TestLog, testSpec, testStep, testTask} from '../fixtures.js';
import {taskKey} from '../refs.js';
import type {TaskKey} from '../types.js';
import {plan} from './core.js';
import type {PlanInput, WorkerView} from './types.js';

const viewsOf = ({db}: TestLog): Map<never, WorkerView> => {
  const views = new Map<never, WorkerView>();
  for (const [worker, {report}] of db.workers)
    views.set(worker as never, {
      worker,
      bornAt: report.bornAt,
      pool: report.pool,
      room: report.room,
      labels: new Set(report.labels),
      free: report.room,
      isUsable: !report.isDraining,
    });
  return views;
};

const inputOf = (log: TestLog, part: Partial<PlanInput> = {}): PlanInput => ({
  db: log.db,
  now: 0,
  wall: 5000,
  workers: viewsOf(log),
  pending: new Map(),
  adviceOf: () => undefined,
  ...part,
});

const pendingOn = (worker: string, keys: TaskKey[]) =>
  new Map(keys.map(key => [key, worker as never]));

describe('planner', () => {
  it('a bound for one worker counts starts under way', () => {
    const log = new TestLog();
    log.addWorker('w1');
    log.submit('a', testSpec([testStep({taskCount: 4, maxPerWorker: 2})]));
    const pending = pendingOn('w1', [
      taskKey(testTask('a', 0, 0)),
      taskKey(testTask('a', 0, 1)),
    ]);
    expect(plan(inputOf(log, {pending})).starts).to.have.length(0);
  });
  it('a bound for one worker counts recorded runs', () => {
    const log = new TestLog();
    log.addWorker('w1');
    log.submit('a', testSpec([testStep({taskCount: 4, maxPerWorker: 2})]));
    log.start('w1', testTask('a', 0, 0));
    expect(plan(inputOf(log)).starts).to.have.length(1);
  });
  it('a step waits for the steps before it', () => {
    const log = new TestLog();
    log.addWorker('w1');
    log.submit('a', testSpec([testStep(), testStep({after: [0]})]));
    expect(plan(inputOf(log)).starts.map(({task}) => task.step)).to.eql([0]);
    log.start('w1', testTask('a', 0, 0));
    log.end('w1', testTask('a', 0, 0), 'done');
    expect(plan(inputOf(log)).starts.map(({task}) => task.step)).to.eql([1]);
  });
  it('a gang starts whole or not at all', () => {
    const log = new TestLog();
    log.addWorker('w1');
    log.submit('a', testSpec([testStep({taskCount: 5, isGang: true})]));
    expect(plan(inputOf(log)).starts).to.have.length(0);
    log.addWorker('w2');
    const {starts} = plan(inputOf(log));
    expect(starts).to.have.length(5);
    expect(new Set(starts.map(({run}) => run))).to.eql(new Set([1]));
  });
  it('the rest of a broken gang is stopped', () => {
    const log = new TestLog();
    log.addWorker('w1');
    log.submit('a', testSpec([testStep({taskCount: 2, isGang: true})]));
    log.start('w1', testTask('a', 0, 0));
    log.start('w1', testTask('a', 0, 1));
    expect(plan(inputOf(log)).stops).to.have.length(0);
    log.end('w1', testTask('a', 0, 0), 'failed');
    expect(plan(inputOf(log)).stops.map(({why}) => why)).to.eql([
      'gang_broken',
    ]);
  });
  it('runs of a cancelled workflow are stopped', () => {
    const log = new TestLog();
    log.addWorker('w1');
    log.submit('a', testSpec([testStep()]));
    log.start('w1', testTask('a', 0, 0));
    log.apply({kind: 'cancel', id: 'a' as never, at: 3000});
    const {starts, stops} = plan(inputOf(log));
    expect(starts).to.have.length(0);
    expect(stops.map(({why}) => why)).to.eql(['workflow_ended']);
  });
  it('nothing starts on a worker that leaves', () => {
    const log = new TestLog();
    log.addWorker('w1', {isDraining: true});
    log.submit('a', testSpec([testStep()]));
    expect(plan(inputOf(log)).starts).to.have.length(0);
  });
  it('a worker without the label is left out', () => {
    const log = new TestLog();
    log.addWorker('w1', {labels: ['other']});
    log.submit('a', testSpec([testStep({requiredLabel: 'kind'})]));
    expect(plan(inputOf(log)).starts).to.have.length(0);
  });
});
