import {expect} from 'chai';
import type {AuthorityMessage, AuthorityReply} from '@primrosewick/protocol';
import {asEpoch, asId, type VmId, type ZoneId} from '@primrosewick/state';
import {
  pause,
  sleep,
  systemClock,
  type PeerCaller,
} from '@primrosewick/transport';
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

const NOBODY: PeerCaller = {
  call: () => Promise.reject(new Error('nobody is there')),
};

const makeTask = (peers = NOBODY, leaseMs = 3000): AuthorityTask =>
  new AuthorityTask({
    own: settingsOf('a'),
    vms: ['a', 'b', 'c'].map(settingsOf),
    boot: 'a1',
    peers,
    clock: systemClock,
    timing: {leaseMs, renewMs: leaseMs / 3, driftMs: 0, safetyMs: 10},
    seed: 1,
  });

/** Peers that grant everything; a release is recorded once `onRelease` has resolved. */
const grantingPeers = (
  released: VmId[],
  onRelease: () => Promise<void>,
): PeerCaller => ({
  call: async (to, _method, request) => {
    const {kind} = request as AuthorityMessage;
    if (kind === 'release') {
      await onRelease();
      released.push(to);
    }
    const reply: AuthorityReply = {
      isGranted: true,
      seenEpoch: asEpoch(0),
      leader: null,
      boot: `${to}1`,
      upMs: 0,
    };
    return reply as never;
  },
});

/** A task that has been elected by its peers. */
const electedTask = async (peers: PeerCaller): Promise<AuthorityTask> => {
  const task = makeTask(peers, 300);
  task.start();
  while (task.epoch === undefined) await pause(systemClock, 20);
  return task;
};

const NOTHING_LENT = {ageMs: 0, upstreams: [], holders: []};

const epochAhead = (days: number) =>
  makeEpoch(Math.floor(systemClock.wall() / 1000) + days * DAY_S, 1);

describe('authority task', () => {
  it('accepts an epoch of the current time', () => {
    expect(() => makeTask().noteEpoch(epochAhead(0))).to.not.throw();
  });
  it('rejects an epoch that no leader can have had', () => {
    expect(() => makeTask().noteEpoch(epochAhead(3))).to.throw(
      'lies in the future',
    );
    expect(() => makeTask().noteEpoch(asEpoch(2 ** 52))).to.throw(
      'lies in the future',
    );
  });
  it('accepts the epoch of a leader whose clock has jumped ahead', () => {
    const task = makeTask();
    const epoch = epochAhead(3);
    task.handle(asId<VmId>('b'), {kind: 'renew', zone, epoch, leaseMs: 1000});
    expect(() => task.noteEpoch(epoch)).to.not.throw();
  });
  it('ignores a malformed reply', async () => {
    const peers = grantingPeers([], () => Promise.resolve());
    const call: PeerCaller['call'] = async (to, method, request) => {
      const reply = await peers.call(to, method, request);
      return {...reply, lastReign: {epoch: 5, left: {}}} as never;
    };
    const task = makeTask({call}, 300);
    task.start();
    await pause(systemClock, 400);
    const {epoch} = task;
    await task.resign(NOTHING_LENT);
    expect(epoch).to.equal(undefined);
  });
  it('rejects a malformed release', () => {
    const release = {
      kind: 'release',
      zone,
      epoch: epochAhead(0),
      why: {kind: 'stopped', handover: {ageMs: 0, upstreams: [{}]}},
    } as unknown as AuthorityMessage;
    expect(() => makeTask().handle(asId<VmId>('b'), release)).to.throw(
      'malformed',
    );
  });
  it('has released its lease at every grantor before it has resigned', async () => {
    const released: VmId[] = [];
    const task = await electedTask(grantingPeers(released, () => sleep(50)));
    await task.resign(NOTHING_LENT);
    expect(released).to.have.members(['b', 'c']);
  });
  it('does not wait for a grantor that never replies to its release', async () => {
    const task = await electedTask(
      grantingPeers([], () => new Promise(() => undefined)),
    );
    const startedAt = systemClock.now();
    await task.resign(NOTHING_LENT);
    expect(systemClock.now() - startedAt).to.be.lessThan(2000);
  });
});
