import {expect} from 'chai';
import {asEpoch, asId, type VmId, type ZoneId} from '@primrosewick/state';
import {Grantor} from './grantor.js';

const [A, B] = ['a', 'b'].map(name => asId<VmId>(name)) as [VmId, VmId];
const zone = asId<ZoneId>('z');
const vote = (epoch: number) => ({
  kind: 'vote' as const,
  zone,
  epoch: asEpoch(epoch),
  leaseMs: 1000,
});
const renew = (epoch: number) => ({
  kind: 'renew' as const,
  zone,
  epoch: asEpoch(epoch),
  leaseMs: 1000,
});
const NOT_LED = {kind: 'not_led' as const};
const makeGrantor = (earliestGrantAt = 0) =>
  new Grantor({
    boot: 'g1',
    startedAt: 0,
    earliestGrantAt,
    driftMs: 100,
  });

describe('grantor', () => {
  it('grants the lease to one VM at a time', () => {
    const grantor = makeGrantor();
    expect(grantor.handle(A, vote(5), 0).isGranted).to.equal(true);
    expect(grantor.handle(B, vote(6), 1099).isGranted).to.equal(false);
    expect(grantor.handle(B, vote(6), 1100).isGranted).to.equal(true);
  });
  it('grants nothing until leases granted before its restart have expired', () => {
    const grantor = makeGrantor(1100);
    expect(grantor.handle(A, vote(5), 1099).isGranted).to.equal(false);
    expect(grantor.handle(A, renew(5), 1099).isGranted).to.equal(false);
    expect(grantor.handle(A, renew(5), 1100).isGranted).to.equal(true);
  });
  it('rejects a vote or renewal of an outdated epoch', () => {
    const grantor = makeGrantor();
    grantor.noteEpoch(asEpoch(9));
    expect(grantor.handle(A, vote(9), 0)).to.deep.equal({
      isGranted: false,
      seenEpoch: 9,
      leader: null,
      boot: 'g1',
      upMs: 0,
    });
    expect(grantor.handle(A, renew(8), 0).isGranted).to.equal(false);
  });
  it('a release frees the lease at once, but only for its holder and epoch', () => {
    const grantor = makeGrantor();
    grantor.handle(A, vote(5), 0);
    const release = (epoch: number) => ({
      kind: 'release' as const,
      zone,
      epoch: asEpoch(epoch),
      why: NOT_LED,
    });
    expect(grantor.handle(B, release(5), 1).isGranted).to.equal(false);
    expect(grantor.handle(A, release(4), 1).isGranted).to.equal(false);
    expect(grantor.handle(A, release(5), 1).isGranted).to.equal(true);
    expect(grantor.handle(B, vote(6), 2).isGranted).to.equal(true);
  });
  const SUCCESSION = {
    handover: {ageMs: 0, upstreams: [], holders: []},
    witnesses: [{vm: A, boot: 'a1'}],
  };
  const stopped = (epoch: number) => ({
    kind: 'release' as const,
    zone,
    epoch: asEpoch(epoch),
    why: {kind: 'stopped' as const, ...SUCCESSION},
  });
  it('passes the handover of a leader on to the next one', () => {
    const grantor = makeGrantor();
    grantor.handle(A, vote(5), 0);
    grantor.handle(A, stopped(5), 10);
    expect(grantor.handle(B, vote(6), 30).lastReign).to.deep.equal({
      epoch: 5,
      left: {succession: SUCCESSION, heldMs: 20},
    });
  });
  it('a release without witnesses, as sent by an older version, has an empty list', () => {
    const grantor = makeGrantor();
    const {handover} = SUCCESSION;
    grantor.handle(A, vote(5), 0);
    grantor.handle(
      A,
      {
        kind: 'release',
        zone,
        epoch: asEpoch(5),
        why: {kind: 'stopped', handover},
      },
      10,
    );
    const {left} = grantor.handle(B, vote(6), 30).lastReign ?? {};
    expect(left?.succession).to.deep.equal({handover, witnesses: []});
  });
  it('a vote that was not won keeps the handover for the next one', () => {
    const grantor = makeGrantor();
    grantor.handle(A, vote(5), 0);
    grantor.handle(A, stopped(5), 10);
    grantor.handle(B, vote(6), 20);
    grantor.handle(
      B,
      {kind: 'release', zone, epoch: asEpoch(6), why: NOT_LED},
      30,
    );
    const {lastReign} = grantor.handle(A, vote(7), 40);
    expect(lastReign?.epoch).to.equal(5);
    expect(lastReign?.left?.heldMs).to.equal(30);
  });
  it('a handover is not reported once another leader was granted the lease', () => {
    const grantor = makeGrantor();
    grantor.handle(A, vote(5), 0);
    grantor.handle(A, stopped(5), 10);
    grantor.handle(B, vote(6), 20);
    expect(grantor.handle(A, vote(7), 2000).lastReign).to.deep.equal({
      epoch: 6,
    });
  });
  it('reports no earlier leadership after a restart, even if a release arrives late', () => {
    const grantor = makeGrantor();
    grantor.handle(A, stopped(5), 0);
    const {isGranted, lastReign} = grantor.handle(B, vote(6), 1);
    expect(isGranted).to.equal(true);
    expect(lastReign).to.equal(undefined);
  });
  it('a renewal or vote that arrives after its release is not granted', () => {
    for (const late of [renew(5), vote(5)]) {
      const grantor = makeGrantor();
      grantor.handle(
        A,
        {kind: 'release', zone, epoch: asEpoch(5), why: NOT_LED},
        0,
      );
      expect(grantor.handle(A, late, 1).isGranted).to.equal(false);
      expect(grantor.handle(B, vote(6), 2).isGranted).to.equal(true);
    }
  });
});
