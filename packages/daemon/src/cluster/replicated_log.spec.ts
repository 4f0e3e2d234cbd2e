import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import bunyan from 'bunyan';
import {expect} from 'chai';
import {WorkflowReplica} from '@primrosewick/coordination';
import {asId, type VmId, type ZoneId} from '@primrosewick/state';
import {
  systemClock,
  type Clock,
  type LinkCaller,
} from '@primrosewick/transport';
import {ReplicatedLog} from './replicated_log.js';

const VM = asId<VmId>('127.0.0.1:7440');

describe('replicated log', () => {
  const folders: string[] = [];
  afterEach(() => {
    for (const folder of folders.splice(0)) rmSync(folder, {recursive: true});
  });

  it('after a suspension of 5 s the proof of leadership and the last contact are at least 5 s old', async () => {
    const dataFolder = mkdtempSync(join(tmpdir(), 'voter-log-'));
    folders.push(dataFolder);
    let suspendedMs = 0;
    const clock: Clock = {
      ...systemClock,
      wall: () => systemClock.wall() + suspendedMs,
    };
    let onLeading: () => void = () => undefined;
    const isLeading = new Promise<void>(resolve => (onLeading = resolve));
    const log = new ReplicatedLog({
      vm: VM,
      zone: asId<ZoneId>('z'),
      dataFolder,
      mayFound: true,
      targetVoters: 1,
      replica: new WorkflowReplica(),
      peers: {call: () => Promise.reject(new Error('alone'))} as LinkCaller,
      clock,
      seed: 1,
      logger: bunyan.createLogger({name: 'spec', level: 'fatal' as never}),
      onLeading: term => term !== null && onLeading(),
      onFailure: err => {
        throw err;
      },
    });
    await log.open();
    const run = log.run(async () => [], [VM]);
    await isLeading;
    expect(log.leadershipConfirmedAgeMs).to.be.lessThan(1000);
    suspendedMs = 5000;
    expect(log.leadershipConfirmedAgeMs).to.be.at.least(5000);
    expect(log.contactAgeMs).to.be.at.least(5000);
    await new Promise(resolve => setTimeout(resolve, 500));
    expect(log.leadershipConfirmedAgeMs).to.be.lessThan(1000);
    await log.close();
    await run;
  });
});
