import bunyan from 'bunyan';
import {expect} from 'chai';
import {
  CellError,
  type RunEnd,
  type ServiceName,
  type WorkerId,
  type WorkerRegistration,
} from '@primrosewick/state';
import {
  TestLog,
  testSpec,
  testStep,
  testTask,
  testWorker,
} from '@primrosewick/state/fixtures';
import type {LifeState} from './end_proof/types.js';
import {WorkerRegistry} from './worker_registry.js';

const logger = bunyan.createLogger({name: 'spec', level: 'fatal' as never});
const WORKER = 'w1' as WorkerId;
const TASK = testTask('a', 0, 0);
const OTHER_POOL = 'other-service' as ServiceName;
const {address: ADDRESS} = testWorker('w1');
const OTHER_ADDRESS = '10.0.0.99:1';
const DONE: RunEnd = {
  sequence: 1,
  task: TASK,
  run: 1,
  outcome: 'done',
  checkpoint: '',
};

/** A registry at a leader, with a worker that runs a task. */
const makeRegistry = (given: LifeState = 'silent', isThere = true) => {
  const log = new TestLog();
  log.addWorker('w1', {bornAt: 10, sequence: 5});
  log.submit('a', testSpec([testStep()]));
  log.start('w1', TASK, 1, 10);
  const heard: WorkerId[] = [];
  const life = {worker: WORKER, bornAt: 10};
  const endRun = () => log.apply({kind: 'end_runs', life, ends: [DONE], at: 1});
  const registry = new WorkerRegistry({
    db: () => log.db,
    propose: async command => log.apply(command),
    logger,
    onAnnouncement: worker => heard.push(worker),
    checkLife: async ({bornAt}) => (bornAt <= 10 ? given : 'silent'),
    answers: async () => isThere,
  });
  const announce = (part: Partial<WorkerRegistration>) =>
    outcomeOf(registry.announce(testWorker('w1', part)));
  const report = () => log.db.workers.get(WORKER)?.report;
  const runCount = () => log.db.findTask(TASK)?.active.length ?? 0;
  const bornAt = () => report()?.bornAt;
  return {log, heard, announce, endRun, report, runCount, bornAt};
};

/** `known`, `unknown` or the code of the error. */
const outcomeOf = async (
  reply: Promise<{readonly isKnown: boolean}>,
): Promise<string> => {
  try {
    return (await reply).isKnown ? 'known' : 'unknown';
  } catch (err) {
    return err instanceof CellError ? err.code : String(err);
  }
};

describe('registry of workers', () => {
  // Guards against TWICE: one word of another writer wrote a sound worker off, and
  // all that ran on it was started elsewhere.
  it('a word of a pool that nothing names leaves the worker as it was', async () => {
    const {announce, runCount, bornAt, heard} = makeRegistry();
    const word = {bornAt: 20, sequence: 1, pool: OTHER_POOL};
    expect(await announce(word)).to.equal('invalid_input');
    expect([runCount(), bornAt(), heard]).to.eql([1, 10, []]);
    expect(await announce({bornAt: 10, sequence: 6})).to.equal('known');
    expect(heard).to.eql([WORKER]);
  });
  it('a later incarnation is not believed while the earlier one answers', async () => {
    const {announce, runCount, bornAt, heard} = makeRegistry('runs');
    expect(await announce({bornAt: 20, sequence: 1})).to.equal('invalid_input');
    expect([runCount(), bornAt(), heard]).to.eql([1, 10, []]);
    expect(await announce({bornAt: 10, sequence: 6})).to.equal('known');
    expect(heard).to.eql([WORKER]);
  });
  // Guards against TWICE: a later start was announced while the worker was cut off.
  it('a later incarnation is not believed while runs of a silent one may go on', async () => {
    const {announce, runCount, bornAt, heard, endRun} = makeRegistry();
    const later = {bornAt: 20, sequence: 1};
    expect(await announce(later)).to.equal('worker_unsure');
    expect([runCount(), bornAt(), heard]).to.eql([1, 10, []]);
    endRun();
    expect(await announce(later)).to.equal('known');
    expect([runCount(), bornAt(), heard]).to.eql([0, 20, [WORKER]]);
  });
  it('a later incarnation is believed once the earlier one is proved to be over', async () => {
    const {announce, log, bornAt} = makeRegistry('over');
    log.apply({
      kind: 'remove_worker',
      life: {worker: WORKER, bornAt: 10},
      runs: [],
      proof: 'replaced',
    });
    expect(await announce({bornAt: 20, sequence: 1})).to.equal('known');
    expect(bornAt()).to.equal(20);
  });
  // Guards against TWICE: the answer of another worker, at an address that was only
  // announced, was taken as proof that the worker had ended.
  it('another address is not believed while the worker answers at its own', async () => {
    const {announce, report, heard} = makeRegistry('runs');
    const word = {bornAt: 10, sequence: 99, address: OTHER_ADDRESS};
    expect(await announce(word)).to.equal('invalid_input');
    expect([report()?.address, report()?.sequence]).to.eql([ADDRESS, 5]);
    expect(await announce({bornAt: 10, sequence: 6})).to.equal('known');
    expect(heard).to.eql([WORKER]);
  });
  it('another address is not believed while runs at the first may go on', async () => {
    const {announce, report, endRun} = makeRegistry();
    const word = {bornAt: 10, sequence: 99, address: OTHER_ADDRESS};
    expect(await announce(word)).to.equal('worker_unsure');
    expect(report()?.address).to.equal(ADDRESS);
    endRun();
    expect(await announce(word)).to.equal('known');
    expect(report()?.address).to.equal(OTHER_ADDRESS);
  });
  // Guards against LOST: words of others put a sound worker out of use that was idle
  // and silent for a moment.
  it('a later start, or another address, is believed where somebody answers to it', async () => {
    const {announce, report, endRun} = makeRegistry('silent', false);
    endRun();
    const later = {bornAt: 20, sequence: 1};
    const moved = {bornAt: 10, sequence: 99, address: OTHER_ADDRESS};
    expect(await announce(later)).to.equal('worker_unsure');
    expect(await announce(moved)).to.equal('worker_unsure');
    expect([report()?.bornAt, report()?.address]).to.eql([10, ADDRESS]);
    expect(await announce({bornAt: 10, sequence: 6})).to.equal('known');
  });
  // Guards against LOST: an entry without a start that came first, under the address
  // of a worker, kept its own words out for ever.
  it('a worker is believed after an entry in its name that states no start', async () => {
    const {announce, log} = makeRegistry('runs');
    log.addWorker('w2', {bornAt: 0});
    const own = {worker: 'w2' as WorkerId, bornAt: 30, sequence: 9};
    expect(await announce(own)).to.equal('known');
    expect(log.db.workers.get('w2' as WorkerId)?.report.bornAt).to.equal(30);
  });
  it('a worker is heard on after its pool has left the bundle', async () => {
    const {announce, log, heard} = makeRegistry();
    const {bundle} = log.db;
    log.apply({
      kind: 'put_bundle',
      bundle: {...bundle!, version: 9, pools: [], queues: []},
    });
    const leaving = {bornAt: 10, sequence: 6, isDraining: true};
    expect(await announce(leaving)).to.equal('known');
    expect(heard).to.eql([WORKER]);
    expect(log.db.workers.get(WORKER)?.report.isDraining).to.equal(true);
  });
});
