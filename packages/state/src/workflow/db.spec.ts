import {expect} from 'chai';
import {testBundle} from '../bundle/fixtures.js';
import {WorkflowDb} from './db.js';
import {TestLog, testSpec, testStep, testTask, testWorker} from './fixtures.js';
import type {StepSpec, WorkflowId} from './types.js';

const phaseOf = ({db}: TestLog, id: string) =>
  db.workflows.get(id as WorkflowId)?.phase;

const oneTask = (part = {}) => {
  const log = new TestLog();
  log.addWorker('w1');
  log.submit('a', testSpec([testStep(part)]));
  log.start('w1', testTask('a', 0, 0));
  return log;
};

/** A log with a worker and a workflow whose steps run three times. */
const repeated = (steps: readonly StepSpec[]) => {
  const log = new TestLog();
  log.addWorker('w1');
  log.submit('r', testSpec(steps, {occurrences: 3}));
  return log;
};

const repeatedTask = (occurrence: number, step: number, index: number) => ({
  ...testTask('r', step, index),
  occurrence,
});

/** Starts the first tasks of a step and reports each of them as done. */
const runStep = (
  log: TestLog,
  {
    occurrence,
    step,
    count,
  }: {
    readonly occurrence: number;
    readonly step: number;
    readonly count: number;
  },
): void => {
  const tasks = Array.from({length: count}, (_, index) =>
    repeatedTask(occurrence, step, index),
  );
  for (const task of tasks) log.start('w1', task);
  for (const task of tasks) log.end('w1', task, 'done');
};

describe('workflow db', () => {
  it('only a bundle with a higher version replaces the one in force', () => {
    const log = new TestLog({version: 5});
    const put = (version: number) =>
      log.apply({kind: 'put_bundle', bundle: testBundle({version})});
    expect(put(4)).to.eql({kind: 'superseded', version: 5});
    expect(put(5)).to.eql({kind: 'superseded', version: 5});
    expect(put(9)).to.eql({kind: 'applied'});
    expect(log.db.bundle?.version).to.equal(9);
  });
  it('a second submission with the same id is ignored', () => {
    const log = oneTask();
    log.submit('a', testSpec([testStep({taskCount: 7})]));
    expect(log.db.workflows.size).to.equal(1);
    expect(log.db.findTask(testTask('a', 0, 0))?.lastRun).to.equal(1);
  });
  it('a workflow is done once all its tasks are done', () => {
    const log = oneTask();
    expect(phaseOf(log, 'a')).to.equal('open');
    log.end('w1', testTask('a', 0, 0), 'done');
    expect(phaseOf(log, 'a')).to.equal('done');
  });
  it('a workflow fails once a task has failed maxAttempts times', () => {
    const log = oneTask();
    log.end('w1', testTask('a', 0, 0), 'failed');
    expect(phaseOf(log, 'a')).to.equal('open');
    log.start('w1', testTask('a', 0, 0), 2);
    log.end('w1', testTask('a', 0, 0), 'failed', {run: 2});
    expect(phaseOf(log, 'a')).to.equal('failed');
  });
  it('runs that end other than as failed do not count as attempts', () => {
    const log = oneTask();
    const outcomes = ['stopped', 'lapsed', 'broken', 'alone'] as const;
    outcomes.forEach((outcome, i) => {
      log.end('w1', testTask('a', 0, 0), outcome, {run: i + 1});
      log.start('w1', testTask('a', 0, 0), i + 2);
    });
    expect(log.db.findTask(testTask('a', 0, 0))?.failures).to.equal(0);
    expect(phaseOf(log, 'a')).to.equal('open');
  });
  it('failures of several members count as one failed run of the gang', () => {
    const log = new TestLog();
    log.addWorker('w1');
    log.submit('g', testSpec([testStep({taskCount: 2, isGang: true})]));
    for (const index of [0, 1]) log.start('w1', testTask('g', 0, index));
    for (const index of [0, 1])
      log.end('w1', testTask('g', 0, index), 'failed');
    expect(phaseOf(log, 'g')).to.equal('open');
  });
  it('a gang is done once one member ends as done', () => {
    const log = new TestLog();
    log.addWorker('w1');
    log.submit('g', testSpec([testStep({taskCount: 2, isGang: true})]));
    for (const index of [0, 1]) log.start('w1', testTask('g', 0, index));
    log.end('w1', testTask('g', 0, 0), 'done');
    expect(phaseOf(log, 'g')).to.equal('done');
  });
  // Guards against a repeated workflow that ends early: each report that arrives
  // once an occurrence is complete used to count the occurrence again.
  it('an occurrence counts once, though each member of its last gang reports', () => {
    const log = repeated([testStep({taskCount: 3, isGang: true})]);
    runStep(log, {occurrence: 0, step: 0, count: 3});
    expect(phaseOf(log, 'r')).to.equal('open');
    runStep(log, {occurrence: 1, step: 0, count: 3});
    expect(phaseOf(log, 'r')).to.equal('open');
    runStep(log, {occurrence: 2, step: 0, count: 1});
    expect(phaseOf(log, 'r')).to.equal('done');
  });
  it('an occurrence counts once, though a member of an earlier gang reports late', () => {
    const log = repeated([
      testStep({taskCount: 2, isGang: true}),
      testStep({after: [0]}),
    ]);
    for (const index of [0, 1]) log.start('w1', repeatedTask(0, 0, index));
    log.end('w1', repeatedTask(0, 0, 0), 'done');
    runStep(log, {occurrence: 0, step: 1, count: 1});
    log.end('w1', repeatedTask(0, 0, 1), 'done');
    runStep(log, {occurrence: 1, step: 0, count: 2});
    runStep(log, {occurrence: 1, step: 1, count: 1});
    expect(phaseOf(log, 'r')).to.equal('open');
    runStep(log, {occurrence: 2, step: 0, count: 2});
    runStep(log, {occurrence: 2, step: 1, count: 1});
    expect(phaseOf(log, 'r')).to.equal('done');
  });
  it('an occurrence counts once, though both copies of its task are done', () => {
    const log = repeated([testStep({isSpeculative: true})]);
    log.addWorker('w2');
    log.start('w1', repeatedTask(0, 0, 0), 1);
    log.start('w2', repeatedTask(0, 0, 0), 2);
    log.end('w1', repeatedTask(0, 0, 0), 'done', {run: 1});
    log.end('w2', repeatedTask(0, 0, 0), 'done', {run: 2});
    runStep(log, {occurrence: 1, step: 0, count: 1});
    expect(phaseOf(log, 'r')).to.equal('open');
    runStep(log, {occurrence: 2, step: 0, count: 1});
    expect(phaseOf(log, 'r')).to.equal('done');
  });
  it('occurrences that an earlier version counted too often are counted anew', () => {
    const log = repeated([testStep()]);
    runStep(log, {occurrence: 0, step: 0, count: 1});
    const image = structuredClone(log.db.toImage());
    const workflows = image.workflows.map(kept => ({
      ...kept,
      doneOccurrences: 2,
    }));
    log.db.restore({...image, workflows});
    runStep(log, {occurrence: 1, step: 0, count: 1});
    expect(phaseOf(log, 'r')).to.equal('open');
    runStep(log, {occurrence: 2, step: 0, count: 1});
    expect(phaseOf(log, 'r')).to.equal('done');
  });
  it('a run end that is reported twice is counted once', () => {
    const log = oneTask();
    const end = {
      sequence: 1,
      task: testTask('a', 0, 0),
      run: 1,
      outcome: 'failed' as const,
      checkpoint: '',
    };
    const life = {worker: 'w1' as never, bornAt: 1};
    for (const at of [1, 2])
      log.apply({kind: 'end_runs', life, ends: [end], at});
    expect(log.db.findTask(testTask('a', 0, 0))?.failures).to.equal(1);
  });
  it('the end of a voided run is ignored, its checkpoint is kept', () => {
    const log = oneTask();
    log.apply({
      kind: 'void_runs',
      life: {worker: 'w1' as never, bornAt: 1},
      runs: [{task: testTask('a', 0, 0), run: 1, checkpoint: 'cp'}],
      reason: 'lease_lapsed',
    });
    log.end('w1', testTask('a', 0, 0), 'done');
    expect(phaseOf(log, 'a')).to.equal('open');
    expect(log.db.findTask(testTask('a', 0, 0))?.checkpoint).to.equal('cp');
  });
  // Guards against TWICE: a later start was announced, and what ran on the worker
  // was started elsewhere.
  it('a later start of a worker ends no run of the incarnation before', () => {
    const log = oneTask();
    log.addWorker('w1', {bornAt: 2});
    expect(log.db.findTask(testTask('a', 0, 0))?.active).to.have.length(1);
    expect(log.db.workers.get('w1' as never)?.report.bornAt).to.equal(1);
  });
  it('a replaced incarnation takes its runs along, and gets no further ones', () => {
    const log = oneTask();
    const life = {worker: 'w1' as never, bornAt: 1};
    log.apply({kind: 'remove_worker', life, runs: [], proof: 'replaced'});
    expect(log.db.findTask(testTask('a', 0, 0))?.active).to.eql([]);
    log.addWorker('w1', {bornAt: 2});
    log.start('w1', testTask('a', 0, 0), 2, 1);
    expect(log.db.findTask(testTask('a', 0, 0))?.active).to.eql([]);
  });
  it('runs that the next incarnation may begin are kept until they are settled', () => {
    const log = oneTask();
    const life = {worker: 'w1' as never, bornAt: 1};
    const orphan = {task: testTask('a', 0, 0), run: 1};
    log.apply({
      kind: 'remove_worker',
      life,
      runs: [],
      proof: 'replaced',
      orphans: [orphan],
    });
    const copy = new WorkflowDb();
    copy.restore(log.db.toImage());
    expect(copy.orphans.values()).to.eql([{worker: 'w1', ...orphan}]);
    log.addWorker('w2');
    log.start('w2', testTask('a', 0, 0), 2, 1);
    expect(log.db.orphans.values()).to.eql([]);
  });
  it('the end of a voided run counts where the record says so', () => {
    for (const countsVoided of [true, false]) {
      const log = oneTask();
      const task = testTask('a', 0, 0);
      const life = {worker: 'w1' as never, bornAt: 1};
      const runs = [{task, run: 1, checkpoint: ''}];
      log.apply({kind: 'void_runs', life, runs, reason: 'lease_lapsed'});
      const end = {sequence: 1, task, run: 1, checkpoint: ''};
      const ends = [{...end, outcome: 'done'} as const];
      log.apply({kind: 'end_runs', life, ends, at: 5, countsVoided});
      expect(phaseOf(log, 'a')).to.equal(countsVoided ? 'done' : 'open');
    }
  });
  // Guards against TWICE: a start was recorded while its worker, idle so far, left.
  it('a worker without runs is not removed if it has some by then', () => {
    const log = oneTask();
    const life = {worker: 'w1' as never, bornAt: 1};
    log.apply({kind: 'remove_worker', life, runs: [], proof: 'no_runs'});
    expect(log.db.findTask(testTask('a', 0, 0))?.active).to.have.length(1);
    expect(log.db.workers.has('w1' as never)).to.equal(true);
  });
  // Guards against TWICE: the answer of another worker, at an address that was only
  // announced, was taken as proof that the worker had ended.
  it('the address of a worker stays while runs are active that were started there', () => {
    const log = oneTask();
    const {address} = testWorker('w1');
    const moved = {address: '10.0.0.9:80', sequence: 9};
    log.addWorker('w1', moved);
    expect(log.db.workers.get('w1' as never)?.report.address).to.equal(address);
    const run = {task: testTask('a', 0, 0), run: 1, checkpoint: ''};
    log.apply({
      kind: 'void_runs',
      life: {worker: 'w1' as never, bornAt: 1},
      runs: [run],
      reason: 'not_started',
    });
    log.addWorker('w1', moved);
    expect(log.db.workers.get('w1' as never)?.report.address).to.equal(
      moved.address,
    );
  });
  it('a worker that leaves does so for the rest of its incarnation', () => {
    const log = oneTask();
    log.addWorker('w1', {isDraining: true, isLeaving: true});
    log.addWorker('w1', {isDraining: false, sequence: 9});
    const report = log.db.workers.get('w1' as never)?.report;
    expect([report?.isLeaving, report?.isDraining]).to.eql([true, true]);
  });
  it('an older incarnation does not replace a newer one', () => {
    const log = oneTask();
    log.addWorker('w1', {bornAt: 0});
    expect(log.db.workers.get('w1' as never)?.report.bornAt).to.equal(1);
  });
  it('a draining worker stays draining within its incarnation', () => {
    const log = oneTask();
    log.addWorker('w1', {isDraining: true});
    log.addWorker('w1', {isDraining: false, sequence: 9});
    expect(log.db.workers.get('w1' as never)?.report.isDraining).to.equal(true);
  });
  it('a long-running task is not done when its run ends as done', () => {
    const log = oneTask({isLongRunning: true});
    log.end('w1', testTask('a', 0, 0), 'done');
    expect(phaseOf(log, 'a')).to.equal('open');
    expect(log.db.findTask(testTask('a', 0, 0))?.isDone).to.equal(false);
  });
  it('a restored image yields the same state', () => {
    const log = oneTask();
    log.end('w1', testTask('a', 0, 0), 'failed', {checkpoint: 'cp'});
    log.start('w1', testTask('a', 0, 0), 2);
    const copy = new WorkflowDb();
    copy.restore(structuredClone(log.db.toImage()));
    expect(copy.toImage()).to.eql(log.db.toImage());
    expect(copy.open.size).to.equal(1);
  });
  it('an ended workflow is kept while a run of it is active', () => {
    const log = oneTask();
    log.apply({kind: 'cancel', id: 'a' as never, at: 1});
    const late = {kind: 'submit' as const, queue: 'queue' as never, at: 1e12};
    log.apply({...late, id: 'b' as never, spec: testSpec([testStep()])});
    expect(phaseOf(log, 'a')).to.equal('cancelled');
    log.end('w1', testTask('a', 0, 0), 'stopped');
    log.apply({...late, id: 'c' as never, spec: testSpec([testStep()])});
    expect(phaseOf(log, 'a')).to.equal(undefined);
  });
  it('the used resources of a worker follow its runs, also after a restore', () => {
    const log = oneTask();
    const used = () => log.db.workers.get('w1' as never)?.used.cpuMillis;
    expect(used()).to.equal(1000);
    const copy = new WorkflowDb();
    copy.restore(log.db.toImage());
    expect(copy.workers.get('w1' as never)?.used.cpuMillis).to.equal(1000);
    log.end('w1', testTask('a', 0, 0), 'done');
    expect(used()).to.equal(0);
  });
  it('a cancelled workflow holds its resources until its runs have ended', () => {
    const log = oneTask();
    log.apply({kind: 'cancel', id: 'a' as WorkflowId, at: 2});
    const used = () => log.db.workers.get('w1' as never)?.used.cpuMillis;
    expect(used()).to.equal(1000);
    log.end('w1', testTask('a', 0, 0), 'stopped');
    expect(used()).to.equal(0);
    expect(log.db.workflows.get('a' as WorkflowId)?.spec.steps).to.eql([]);
    expect(phaseOf(log, 'a')).to.equal('cancelled');
  });
  it('a report that was overtaken does not bring the earlier room back', () => {
    const log = new TestLog();
    const room = {cpuMillis: 500, memMb: 500, gpus: 0};
    log.addWorker('w1', {sequence: 1});
    log.addWorker('w1', {sequence: 8, room});
    log.addWorker('w1', {sequence: 7});
    const copy = new WorkflowDb();
    copy.restore(structuredClone(log.db.toImage()));
    const report = testWorker('w1', {sequence: 6});
    copy.apply(copy.index + 1, {kind: 'put_worker', report});
    for (const db of [log.db, copy])
      expect(db.workers.get('w1' as never)?.report.room).to.eql(room);
  });
  it('the end of a workflow is told with the record that ends it, and no later', () => {
    const log = new TestLog();
    log.addWorker('w1');
    log.submit('a', testSpec([testStep()]));
    log.start('w1', testTask('a', 0, 0));
    expect(log.db.ended.byLastRecord).to.eql([]);
    log.end('w1', testTask('a', 0, 0), 'done');
    expect(log.db.ended.byLastRecord).to.eql([
      {
        id: 'a',
        queue: 'queue',
        phase: 'done',
        acceptedAt: 1000,
        endedAt: 2000,
        // Twice its estimate of 1000 ms, and 500 ms more.
        dueAt: 3500,
      },
    ]);
    log.db.skip(log.db.index + 1);
    expect(log.db.ended.byLastRecord).to.eql([]);
  });
});
