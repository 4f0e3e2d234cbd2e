import {expect} from 'chai';
import {Cell} from '@primrosewick/standins';
import {sleep} from '@primrosewick/transport';
import {
  findLogLeader,
  putProfile,
  readRevision,
  readStatus,
  waitForStatus,
} from './helpers.js';

const VMS = ['a1', 'b1', 'c1'];
const START_MS = 40_000;

describe('daemon processes under faults', () => {
  let cell: Cell;

  before(async () => {
    cell = await Cell.create({
      cell: 'faults',
      vms: VMS.map(vm => ({vm, zone: vm[0]!, disk: true})),
    });
    for (const vm of VMS) cell.startDaemon(vm);
    for (const vm of VMS)
      expect(await cell.waitUntilReady(vm, START_MS)).to.equal(true);
    expect(
      await waitForStatus(cell, 'a1', vms => vms[0]?.log?.voters.length === 3),
    ).to.equal(true);
  });
  after(() => cell.destroy());

  const others = (vm: string): string[] => VMS.filter(other => other !== vm);
  const restart = async (vm: string): Promise<void> => {
    cell.startDaemon(vm);
    expect(await cell.waitUntilReady(vm, START_MS)).to.equal(true);
  };

  it('accepted writes survive a killed leader', async () => {
    expect(await putProfile(cell, 'a1', 'one', 0)).to.include('revision 1');
    const leader = (await findLogLeader(cell, 'a1'))!;
    await cell.signal(leader, 'SIGKILL');
    const [next] = others(leader) as [string, string];
    expect(
      await waitForStatus(cell, next, vms =>
        vms.some(({log}) => log?.role === 'leader'),
      ),
    ).to.equal(true);
    expect(await putProfile(cell, next, 'one', 1)).to.include('revision 2');
    await restart(leader);
    expect(await readRevision(cell, leader, 'one')).to.equal(2);
  });
  it('a killed follower catches up after its restart', async () => {
    const leader = (await findLogLeader(cell, 'a1'))!;
    const [follower] = others(leader) as [string, string];
    await cell.signal(follower, 'SIGKILL');
    expect(await putProfile(cell, leader, 'two', 0)).to.include('revision 1');
    await restart(follower);
    expect(await readRevision(cell, follower, 'two')).to.equal(1);
  });
  it('a frozen leader that resumes after an election catches up and rejects a stale write', async () => {
    const leader = (await findLogLeader(cell, 'a1'))!;
    const [next] = others(leader) as [string, string];
    await cell.signal(leader, 'SIGSTOP');
    expect(
      await waitForStatus(cell, next, vms =>
        vms.some(({vm, log}) => vm !== leader && log?.role === 'leader'),
      ),
    ).to.equal(true);
    expect(await putProfile(cell, next, 'three', 0)).to.include('revision 1');
    await cell.signal(leader, 'SIGCONT');
    expect(
      await waitForStatus(cell, next, vms =>
        vms.every(
          ({log}) => log && log.commitIndex === vms[0]?.log?.commitIndex,
        ),
      ),
    ).to.equal(true);
    expect(await readRevision(cell, leader, 'three')).to.equal(1);
    expect(await putProfile(cell, leader, 'three', 0)).to.include(
      'revision_conflict',
    );
  });
  it('a voter whose data folder was deleted rejoins under a new identity', async () => {
    const leader = (await findLogLeader(cell, 'a1'))!;
    const [lost, other] = others(leader) as [string, string];
    const before = (await readStatus(cell, leader)).find(({vm}) => vm === lost)!
      .log!.node;
    await cell.signal(lost, 'SIGKILL');
    cell.deleteData(lost);
    await restart(lost);
    const isRepaired = await waitForStatus(cell, leader, vms => {
      const voters = vms.find(({vm}) => vm === leader)?.log?.voters ?? [];
      return voters.length === 3 && !voters.includes(before);
    });
    expect(isRepaired).to.equal(true);
    expect(await readRevision(cell, lost, 'three')).to.equal(1);
    await cell.signal(other, 'SIGKILL');
    cell.deleteData(other);
    expect(await putProfile(cell, lost, 'three', 1)).to.include('revision 2');
    await restart(other);
    expect(await readRevision(cell, other, 'one')).to.equal(2);
  });
  it('one of three concurrent writes on the same base revision is accepted', async () => {
    const answers = await Promise.all(
      VMS.map(vm => putProfile(cell, vm, 'race', 0)),
    );
    expect(
      answers.filter(answer => answer.includes('revision 1')).length,
    ).to.equal(1);
    expect(
      answers.filter(answer => answer.includes('revision_conflict')).length,
    ).to.equal(2);
  });
  it('a second daemon on the same data folder exits with code 1', async () => {
    const second = cell.startSecondDaemon('a1');
    const code = await second;
    expect(code).to.equal(1);
  });
  it('a single voter of three rejects writes and still serves reads', async () => {
    await cell.signal('a1', 'SIGSTOP');
    await cell.signal('b1', 'SIGSTOP');
    await sleep(4000);
    expect(await putProfile(cell, 'c1', 'four', 0)).to.match(
      /log_unavailable|log_outcome_unknown/,
    );
    expect(await readRevision(cell, 'c1', 'one')).to.equal(2);
    await cell.signal('a1', 'SIGCONT');
    await cell.signal('b1', 'SIGCONT');
    expect(
      await waitForStatus(cell, 'c1', vms =>
        vms.some(({log}) => log?.role === 'leader'),
      ),
    ).to.equal(true);
  });
}).timeout(180_000);
