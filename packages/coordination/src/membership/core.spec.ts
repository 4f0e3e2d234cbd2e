import {expect} from 'chai';
import type {NodeId, VmId, ZoneId} from '@primrosewick/state';
import {nextMembershipChange, type MembershipInput} from './core.js';
import {chooseInitialVoters} from './founding.js';

const node = (name: string): NodeId => name as NodeId;
const heard = (name: string, zone = 'z', silentMs = 0) => ({
  vm: name.split('~')[0] as VmId,
  node: node(name),
  zone: zone as ZoneId,
  silentMs,
});
const [A, B, C, D] = ['a~1', 'b~1', 'c~1', 'd~1'].map(node) as [
  NodeId,
  NodeId,
  NodeId,
  NodeId,
];

const input = (part: Partial<MembershipInput>): MembershipInput => ({
  members: {voters: [A, B, C], learners: []},
  own: A,
  announced: ['a~1', 'b~1', 'c~1'].map(name => heard(name)),
  caughtUp: new Set(),
  targetVoters: 3,
  ...part,
});

describe('membership', () => {
  it('no change is made while all voters are announced', () => {
    expect(nextMembershipChange(input({}))).to.equal(undefined);
  });
  it('a new VM is added as a learner', () => {
    const announced = [...input({}).announced, heard('d~1')];
    expect(nextMembershipChange(input({announced}))).to.eql({
      kind: 'add_learner',
      node: D,
    });
  });
  it('a learner is not promoted while no voter is missing', () => {
    const members = {voters: [A, B, C], learners: [D]};
    const announced = [...input({}).announced, heard('d~1')];
    const caughtUp = new Set([D]);
    expect(
      nextMembershipChange(input({members, announced, caughtUp})),
    ).to.equal(undefined);
  });
  it('a learner that has caught up replaces a silent voter', () => {
    const announced = [heard('b~1'), heard('c~1', 'z', 9000), heard('d~1')];
    const caughtUp = new Set([D]);
    const members = {voters: [A, B, C], learners: [D]};
    expect(nextMembershipChange(input({members, announced, caughtUp}))).to.eql({
      kind: 'promote',
      node: D,
    });
    const wider = {voters: [A, B, C, D], learners: []};
    expect(
      nextMembershipChange(input({members: wider, announced, caughtUp})),
    ).to.eql({kind: 'remove', node: C});
  });
  it('a learner that lacks entries is not promoted', () => {
    const announced = [heard('b~1'), heard('c~1', 'z', 9000), heard('d~1')];
    const members = {voters: [A, B, C], learners: [D]};
    expect(nextMembershipChange(input({members, announced}))).to.equal(
      undefined,
    );
  });
  it('a voter whose disk is lost is replaced by its new identity', () => {
    const announced = [heard('b~1'), heard('c~2')];
    const added = nextMembershipChange(input({announced}));
    expect(added).to.eql({kind: 'add_learner', node: 'c~2'});
    const members = {voters: [A, B, C], learners: [node('c~2')]};
    const caughtUp = new Set([node('c~2')]);
    expect(nextMembershipChange(input({members, announced, caughtUp}))).to.eql({
      kind: 'promote',
      node: 'c~2',
    });
  });
});

describe('founding', () => {
  const hello = (vm: string, part = {}) => ({
    vm: vm as VmId,
    zone: 'z' as ZoneId,
    node: node(`${vm}~1`),
    hasState: false,
    mayFound: true,
    ...part,
  });
  const seeds = ['a', 'b', 'c'] as VmId[];
  const ask = (part: Partial<Parameters<typeof chooseInitialVoters>[0]>) =>
    chooseInitialVoters({
      own: hello('a'),
      seeds,
      replies: [hello('b'), hello('c')],
      isSeedWaitOver: false,
      ...part,
    });
  it('the first seed founds the cell with all seeds', () => {
    expect(ask({})).to.eql(['a~1', 'b~1', 'c~1']);
  });
  it('no other seed founds', () => {
    const replies = [hello('a'), hello('c')];
    expect(ask({own: hello('b'), replies})).to.equal(undefined);
  });
  it('a VM that lost its disk does not found the cell', () => {
    expect(ask({own: hello('a', {mayFound: false})})).to.equal(undefined);
  });
  it('the cell is not founded if another VM has state', () => {
    const replies = [hello('b', {hasState: true}), hello('c')];
    expect(ask({replies, isSeedWaitOver: true})).to.equal(undefined);
  });
  it('a seed that does not reply is left out once the wait is over', () => {
    expect(ask({replies: [hello('b')]})).to.equal(undefined);
    expect(ask({replies: [hello('b')], isSeedWaitOver: true})).to.eql([
      'a~1',
      'b~1',
    ]);
    expect(ask({replies: [], isSeedWaitOver: true})).to.equal(undefined);
  });
});
