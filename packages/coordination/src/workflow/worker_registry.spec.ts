import bunyan from 'bunyan';
import {expect} from 'chai';
import {
  CellError,
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
import {WorkerRegistry} from './worker_registry.js';

const logger = bunyan.createLogger({name: 'spec', level: 'fatal' as never});
const WORKER = 'w1' as WorkerId;
const TASK = testTask('a', 0, 0);
const OTHER_POOL = 'other-service' as ServiceName;

/** A registry at a leader, with a worker that runs a task. */
const makeRegistry = ({isAlive = false} = {}) => {
  const log = new TestLog();
  log.addWorker('w1', {bornAt: 10, sequence: 5});
  log.submit('a', testSpec([testStep()]));
  log.start('w1', TASK, 1, 10);
  const heard: WorkerId[] = [];
  const registry = new WorkerRegistry({
    db: () => log.db,
    propose: async command => log.apply(command),
    logger,
    onAnnouncement: worker => heard.push(worker),
    runsOf: () => [],
    isAlive: async ({bornAt}) => isAlive && bornAt === 10,
  });
  const announce = async (
    part: Partial<WorkerRegistration>,
  ): Promise<string> => {
    try {
      await registry.announce(testWorker('w1', part));
      return 'known';
    } catch (err) {
      return err instanceof CellError ? err.code : String(err);
    }
  };
  const runCount = () => log.db.findTask(TASK)?.active.length;
  const bornAt = () => log.db.workers.get(WORKER)?.report.bornAt;
  return {log, heard, announce, runCount, bornAt};
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
    const {announce, runCount, bornAt, heard} = makeRegistry({isAlive: true});
    expect(await announce({bornAt: 20, sequence: 1})).to.equal('invalid_input');
    expect([runCount(), bornAt(), heard]).to.eql([1, 10, []]);
    expect(await announce({bornAt: 10, sequence: 6})).to.equal('known');
    expect(heard).to.eql([WORKER]);
  });
  it('a later incarnation is believed once the earlier one is silent', async () => {
    const {announce, runCount, bornAt} = makeRegistry();
    expect(await announce({bornAt: 20, sequence: 1})).to.equal('known');
    expect([runCount(), bornAt()]).to.eql([0, 20]);
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
