import bunyan from 'bunyan';
import {expect} from 'chai';
import type {VmId, WorkerId} from '@primrosewick/state';
import {TestLog, testWorker} from '@primrosewick/state/fixtures';
import {systemClock} from '@primrosewick/transport';
import {WorkflowReplica} from './replica.js';
import {WorkflowService} from './service.js';

const logger = bunyan.createLogger({name: 'spec', level: 'fatal' as never});
const WORKER = 'w1' as WorkerId;

/** The service of one leader, whose log is applied to the replica at once. */
const leaderOf = (replica: WorkflowReplica): WorkflowService =>
  new WorkflowService({
    replica,
    log: {
      isLeading: true,
      leaderVm: 'own' as VmId,
      propose: async command =>
        replica.apply({index: replica.index + 1, command})!,
      readIndex: async () => replica.index,
    },
    clock: systemClock,
    logger,
    load: {decide: () => ({kind: 'take'})},
    onAnnouncement: () => undefined,
  });

const deadline = () => systemClock.now() + 500;

describe('workers that have left', () => {
  it('a late announcement to the next leader brings no worker back that has left', async () => {
    const replica = new WorkflowReplica();
    replica.restore(new TestLog().db.toImage());
    const first = leaderOf(replica);
    await first.announceWorker(testWorker('w1', {sequence: 8}));
    await first.removeWorker({worker: WORKER, bornAt: 1}, deadline());
    const next = leaderOf(replica);
    await next.announceWorker(testWorker('w1', {sequence: 7}));
    expect(replica.db.workers.has(WORKER)).to.equal(false);
  });
  it('a worker of unknown start returns after a deregistration that names none', async () => {
    const replica = new WorkflowReplica();
    replica.restore(new TestLog().db.toImage());
    const leader = leaderOf(replica);
    await leader.announceWorker(testWorker('w1', {bornAt: 0, sequence: 8}));
    await leader.removeWorker({worker: WORKER, bornAt: null}, deadline());
    expect(replica.db.workers.has(WORKER)).to.equal(false);
    await leader.announceWorker(testWorker('w1', {bornAt: 0, sequence: 9}));
    expect(replica.db.workers.has(WORKER)).to.equal(true);
  });
  it('a worker returns once an incarnation that never was is removed', async () => {
    const replica = new WorkflowReplica();
    replica.restore(new TestLog().db.toImage());
    const leader = leaderOf(replica);
    await leader.announceWorker(testWorker('w1', {bornAt: 5, sequence: 8}));
    await leader.announceWorker(testWorker('w1', {bornAt: 9, sequence: 1}));
    const life = {worker: WORKER, bornAt: 9};
    const command = {kind: 'remove_worker', life, runs: []} as const;
    replica.apply({index: replica.index + 1, command});
    await leader.announceWorker(testWorker('w1', {bornAt: 5, sequence: 9}));
    expect(replica.db.workers.get(WORKER)?.report.bornAt).to.equal(5);
  });
  it('a late announcement of the incarnation before one that has left brings none back', async () => {
    const replica = new WorkflowReplica();
    replica.restore(new TestLog().db.toImage());
    const leader = leaderOf(replica);
    await leader.announceWorker(testWorker('w1', {bornAt: 5, sequence: 8}));
    await leader.announceWorker(testWorker('w1', {bornAt: 9, sequence: 1}));
    await leader.removeWorker({worker: WORKER, bornAt: 9}, deadline());
    await leader.announceWorker(testWorker('w1', {bornAt: 5, sequence: 9}));
    expect(replica.db.workers.has(WORKER)).to.equal(false);
  });
});
