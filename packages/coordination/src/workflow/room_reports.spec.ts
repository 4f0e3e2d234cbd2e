import bunyan from 'bunyan';
import {expect} from 'chai';
import type {Resources, VmId, WorkerId} from '@primrosewick/state';
import {TestLog, testWorker} from '@primrosewick/state/fixtures';
import {systemClock} from '@primrosewick/transport';
import {WorkflowReplica} from './replica.js';
import {WorkflowService} from './service.js';

const logger = bunyan.createLogger({name: 'spec', level: 'fatal' as never});
const WORKER = 'w1' as WorkerId;
const WHOLE: Resources = {cpuMillis: 4000, memMb: 4000, gpus: 2};

const emptyReplica = (): WorkflowReplica => {
  const replica = new WorkflowReplica();
  replica.restore(new TestLog().db.toImage());
  return replica;
};

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

const roomIn = ({db}: WorkflowReplica): Resources | undefined =>
  db.workers.get(WORKER)?.report.room;

const reportOf = (sequence: number, part: Partial<Resources> = {}) =>
  testWorker(WORKER, {sequence, room: {...WHOLE, ...part}});

describe('reports of a changed room', () => {
  for (const field of ['cpuMillis', 'memMb', 'gpus'] as const)
    it(`a room that shrinks and grows in ${field} is recorded each time`, async () => {
      const replica = emptyReplica();
      const leader = leaderOf(replica);
      for (const [sequence, amount] of [WHOLE[field], 1, 0, 1].entries()) {
        await leader.announceWorker(reportOf(sequence, {[field]: amount}));
        expect(roomIn(replica)?.[field]).to.equal(amount);
      }
    });
  it('a late report to the next leader does not bring the earlier room back', async () => {
    const replica = emptyReplica();
    const first = leaderOf(replica);
    await first.announceWorker(reportOf(1));
    await first.announceWorker(reportOf(8, {cpuMillis: 500}));
    const next = leaderOf(replica);
    await next.announceWorker(reportOf(7));
    expect(roomIn(replica)?.cpuMillis).to.equal(500);
    await next.announceWorker(reportOf(9));
    expect(roomIn(replica)?.cpuMillis).to.equal(WHOLE.cpuMillis);
  });
});
