import {expect} from 'chai';
import {asId, type NodeId} from '@primrosewick/state';
import {caughtUpNodes, type MemberLag} from './member_lag.js';

const LEARNER = asId<NodeId>('d~1');
const LAG: MemberLag = {
  member: LEARNER,
  entries: 10,
  bytes: 10_000,
  sending: 'entries',
  inFlight: 0,
  snapshotOffset: 0,
  snapshotBytes: 0,
  silentMs: 0,
};

const isCaughtUp = (lag: Partial<MemberLag>): boolean =>
  caughtUpNodes([LEARNER], [{...LAG, ...lag}]).has(LEARNER);

describe('learners that have caught up', () => {
  it('one that lacks nothing, or a few small entries', () => {
    expect(caughtUpNodes([LEARNER], []).has(LEARNER)).to.equal(true);
    expect(isCaughtUp({})).to.equal(true);
  });
  // Guards against a voter that counts for a majority and lacks most of the bytes.
  it('not one that lacks many entries, or few large ones', () => {
    expect(isCaughtUp({entries: 65})).to.equal(false);
    expect(isCaughtUp({entries: 50, bytes: 30_000_000})).to.equal(false);
  });
  it('not one that still needs the snapshot, however few entries follow it', () => {
    expect(isCaughtUp({sending: 'snapshot', bytes: 0})).to.equal(false);
  });
});
