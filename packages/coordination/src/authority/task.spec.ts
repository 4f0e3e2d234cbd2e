import {expect} from 'chai';
import {asEpoch, asId, type VmId, type ZoneId} from '@primrosewick/state';
import {systemClock} from '@primrosewick/transport';
import {AuthorityTask} from './task.js';
import {makeEpoch} from './types.js';

const zone = asId<ZoneId>('z');
const DAY_S = 24 * 60 * 60;

const settingsOf = (vm: string) => ({
  vm: asId<VmId>(vm),
  zone,
  peer: '127.0.0.1:1',
  disk: false,
});

const makeTask = (): AuthorityTask =>
  new AuthorityTask({
    own: settingsOf('a'),
    vms: ['a', 'b', 'c'].map(settingsOf),
    peers: {call: () => Promise.reject(new Error('nobody is there'))},
    clock: systemClock,
    timing: {},
    seed: 1,
  });

const epochAhead = (days: number) =>
  makeEpoch(Math.floor(systemClock.wall() / 1000) + days * DAY_S, 1);

describe('authority task', () => {
  it('takes an epoch of the present', () => {
    expect(() => makeTask().noteEpoch(epochAhead(0))).to.not.throw();
  });
  it('refuses an epoch that no leader can have had', () => {
    expect(() => makeTask().noteEpoch(epochAhead(3))).to.throw(
      'lies in the future',
    );
    expect(() => makeTask().noteEpoch(asEpoch(2 ** 52))).to.throw(
      'lies in the future',
    );
  });
  it("takes a leader's epoch though its clock has jumped ahead", () => {
    const task = makeTask();
    const epoch = epochAhead(3);
    task.handle(asId<VmId>('b'), {kind: 'renew', zone, epoch, leaseMs: 1000});
    expect(() => task.noteEpoch(epoch)).to.not.throw();
  });
});
