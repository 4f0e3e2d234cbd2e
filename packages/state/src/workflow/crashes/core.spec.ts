import {expect} from 'chai';
import {
  TestLog,
  testSpec,
  testStep,
  testTask,
  testWorker,
} from '../fixtures.js';
import {WorkflowDb} from '../db.js';
import type {TaskRef} from '../types.js';
import type {CrashEvidence} from './types.js';

const TASK = testTask('a', 0, 0);
const OTHER = testTask('b', 0, 0);

/** A cell with workflows a and b, of one task each. */
const makeLog = (isGang = false): TestLog => {
  const log = new TestLog();
  log.submit('a', testSpec([testStep({isGang})]));
  log.submit('b', testSpec([testStep()]));
  return log;
};

/** Starts tasks on a worker, each at its time in ms, which then crashes. */
const crash = (
  log: TestLog,
  run: number,
  starts: ReadonlyArray<readonly [TaskRef, number]>,
  evidence: Partial<CrashEvidence> = {},
): void => {
  const worker = `w${run}` as never;
  log.addWorker(worker);
  for (const [task, at] of starts)
    log.apply({
      kind: 'start_runs',
      starts: [{task, run, worker, bornAt: 1}],
      at,
    });
  log.apply({
    kind: 'remove_worker',
    life: {worker, bornAt: 1},
    runs: [],
    crash: {at: 9000, heardAt: 5000, togetherCount: 0, ...evidence},
  });
};

const phaseOf = (log: TestLog, id: string) =>
  log.db.workflows.get(id as never)?.phase;

describe('crashes under tasks', () => {
  it('a task under which two workers crash one after the other is given up', () => {
    const log = makeLog();
    crash(log, 1, [
      [TASK, 4950],
      [OTHER, 4900],
    ]);
    expect(phaseOf(log, 'a')).to.equal('open');
    crash(log, 2, [[TASK, 4950]]);
    expect([phaseOf(log, 'a'), phaseOf(log, 'b')]).to.eql(['failed', 'open']);
    expect(log.db.workflows.get('a' as never)?.crashes?.crashes).to.have.length(
      2,
    );
  });
  it('a neighbour that shares two crashes is not given up for them', () => {
    const log = makeLog();
    for (const run of [1, 2])
      crash(log, run, [
        [TASK, 4950],
        [OTHER, 4900],
      ]);
    expect(phaseOf(log, 'b')).to.equal('open');
  });
  // Guards against BUDGET.
  it('no task is started again after three crashes, two of them alone', () => {
    const log = makeLog();
    crash(log, 1, [
      [TASK, 4950],
      [OTHER, 4900],
    ]);
    for (const run of [2, 3]) crash(log, run, [[TASK, 4950]], {isDark: true});
    expect([phaseOf(log, 'a'), phaseOf(log, 'b')]).to.eql(['failed', 'open']);
  });
  // Guards against LOST: a task is given up for crashes that others shared.
  it('crashes that a task shared, however many, do not give it up', () => {
    const log = makeLog();
    for (const run of [1, 2, 3, 4])
      crash(log, run, [
        [TASK, 4950],
        [OTHER, 4900],
      ]);
    expect([phaseOf(log, 'a'), phaseOf(log, 'b')]).to.eql(['open', 'open']);
  });
  // Guards against LOST: the runs may have ended `done` behind a cut.
  it('two crashes out of sight do not give up a task that was alone', () => {
    const log = makeLog();
    for (const run of [1, 2]) crash(log, run, [[TASK, 4950]], {isDark: true});
    expect(phaseOf(log, 'a')).to.equal('open');
  });
  it('three crashes out of sight do, each of which it had to itself', () => {
    const log = makeLog();
    for (const run of [1, 2, 3])
      crash(log, run, [[TASK, 4950]], {isDark: true});
    expect(phaseOf(log, 'a')).to.equal('failed');
  });
  it('a suspect that its worker survives for a second is cleared by that', () => {
    const log = makeLog();
    crash(log, 1, [[TASK, 4950]]);
    crash(log, 2, [[TASK, 3900]], {isDark: true});
    expect(log.db.crashes.size).to.equal(0);
  });
  it('a task that another run has done is not blamed for a copy', () => {
    const log = new TestLog();
    const steps = [testStep({isSpeculative: true}), testStep()];
    log.submit('a', testSpec(steps));
    log.addWorker('w0');
    log.start('w0', TASK, 1);
    log.addWorker('w2');
    log.apply({
      kind: 'start_runs',
      starts: [{task: TASK, run: 2, worker: 'w2' as never, bornAt: 1}],
      at: 4950,
    });
    log.end('w0', TASK, 'done');
    crash(log, 2, []);
    expect(log.db.crashes.size).to.equal(0);
  });
  it('crashes of images without sizes of groups count as before', () => {
    const log = makeLog();
    crash(log, 1, [[TASK, 4950]]);
    const image = log.db.toImage();
    const crashes = image.crashes!.map(record => ({
      ...record,
      crashes: record.crashes.map(({groupSize: unused, ...older}) => older),
    }));
    log.db.restore({...image, crashes});
    crash(log, 2, [[TASK, 4950]]);
    expect(phaseOf(log, 'a')).to.equal('failed');
  });
  it('a crash that is told twice counts once', () => {
    const log = makeLog();
    crash(log, 1, [[TASK, 4950]]);
    log.apply({
      kind: 'remove_worker',
      life: {worker: 'w1' as never, bornAt: 1},
      runs: [],
      crash: {at: 9100, heardAt: 5000, togetherCount: 0},
    });
    expect(log.db.crashes.values()[0]?.crashes).to.have.length(1);
  });
  it('a run that has lasted is not blamed for the crash of its worker', () => {
    const log = makeLog();
    for (const run of [1, 2, 3]) crash(log, run, [[TASK, 1000]]);
    expect([phaseOf(log, 'a'), log.db.crashes.size]).to.eql(['open', 0]);
  });
  it('workers that go dark together blame no task', () => {
    const log = makeLog();
    for (const run of [1, 2, 3, 4])
      crash(log, run, [[TASK, 4950]], {togetherCount: 2});
    expect(phaseOf(log, 'a')).to.equal('open');
  });
  it('a worker that leaves blames no task', () => {
    const log = makeLog();
    log.addWorker('w1');
    log.start('w1', TASK);
    const report = testWorker('w1', {isDraining: true, sequence: 2});
    log.apply({kind: 'put_worker', report});
    crash(log, 1, []);
    expect(log.db.crashes.size).to.equal(0);
  });
  it('a start that the worker cannot have received is not blamed', () => {
    const log = makeLog();
    crash(log, 1, [[TASK, 4950]], {inFlight: ['a.0.0.0' as never]});
    expect(log.db.crashes.size).to.equal(0);
  });
  it('a sound run clears a suspect', () => {
    const log = makeLog();
    crash(log, 1, [[TASK, 4950]]);
    log.addWorker('w9');
    log.start('w9', TASK, 2);
    log.end('w9', TASK, 'done', {run: 2});
    expect(log.db.crashes.size).to.equal(0);
  });
  it('crashes outlive a snapshot, and an older image has none', () => {
    const log = makeLog(true);
    crash(log, 1, [[TASK, 4950]]);
    const image = log.db.toImage();
    const copy = new WorkflowDb();
    copy.restore(image);
    expect(copy.crashes.values()).to.eql(log.db.crashes.values());
    copy.restore({...image, crashes: undefined as never});
    expect(copy.crashes.size).to.equal(0);
  });
});
