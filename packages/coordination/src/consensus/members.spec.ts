import {expect} from 'chai';
import {asId, makeNodeId, type NodeId, type VmId} from '@primrosewick/state';
import {nextMemberChange} from './members.js';

const node = (vm: string, birth = '1'): NodeId =>
  makeNodeId(asId<VmId>(vm), birth);
const announce = (...nodes: NodeId[]) =>
  nodes.map(id => ({vm: asId<VmId>(id.split('~')[0]!), node: id}));

describe('membership repair', () => {
  const [a, b, c] = [node('a'), node('b'), node('c')];
  const c2 = node('c', '2');

  it('no change is made while all members are announced', () => {
    const members = {voters: [a, b, c], learners: []};
    expect(
      nextMemberChange({
        members,
        announced: announce(a, b, c),
        caughtUp: new Set(),
      }),
    ).to.equal(undefined);
  });
  it('a new folder joins as a learner', () => {
    const members = {voters: [a, b, c], learners: []};
    const change = nextMemberChange({
      members,
      announced: announce(a, b, c2),
      caughtUp: new Set(),
    });
    expect(change).to.deep.equal({kind: 'add_learner', node: c2});
  });
  it('a learner is not promoted before it has all committed entries', () => {
    const members = {voters: [a, b, c], learners: [c2]};
    expect(
      nextMemberChange({
        members,
        announced: announce(a, b, c2),
        caughtUp: new Set(),
      }),
    ).to.equal(undefined);
  });
  it('a learner that has all committed entries is promoted', () => {
    const members = {voters: [a, b, c], learners: [c2]};
    const change = nextMemberChange({
      members,
      announced: announce(a, b, c2),
      caughtUp: new Set([c2]),
    });
    expect(change).to.deep.equal({kind: 'promote', node: c2});
  });
  it('the lost identity is removed after its replacement has become a voter', () => {
    const members = {voters: [a, b, c, c2], learners: []};
    const change = nextMemberChange({
      members,
      announced: announce(a, b, c2),
      caughtUp: new Set([c2]),
    });
    expect(change).to.deep.equal({kind: 'remove', node: c});
  });
  it('a voter that is not announced is kept', () => {
    const members = {voters: [a, b, c], learners: []};
    expect(
      nextMemberChange({
        members,
        announced: announce(a, b),
        caughtUp: new Set(),
      }),
    ).to.equal(undefined);
  });
  it('a learner whose VM announces a newer identity is removed', () => {
    const members = {voters: [a, b, c], learners: [node('c', '0')]};
    const change = nextMemberChange({
      members,
      announced: announce(a, b, c2),
      caughtUp: new Set(),
    });
    expect(change).to.deep.equal({kind: 'remove', node: node('c', '0')});
  });
});
