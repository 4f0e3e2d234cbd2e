import {expect} from 'chai';
import {asId, seededRandom, type NodeId} from '@primrosewick/state';
import {ConsensusCore, emptyState} from './core.js';
import type {
  ConsensusMessage,
  DurableState,
  Entry,
  EntryBody,
  Members,
} from './types.js';

const [A, B, NEW] = ['a~1', 'b~1', 'c~2'].map(name => asId<NodeId>(name)) as [
  NodeId,
  NodeId,
  NodeId,
];
const MEMBERS: Members = {voters: [A, B], learners: [NEW]};
const READ_INDEX = 5;

const entry = (term: number, index: number): Entry<string> => {
  const body: EntryBody<string> =
    index === 1
      ? {kind: 'members', members: MEMBERS}
      : {kind: 'command', command: `${term}.${index}`};
  return {term, index, body};
};

/** A learner that has learned from the leader which index it must reach. */
const learnerWith = (
  entries: ReadonlyArray<Entry<string>>,
): ConsensusCore<string> => {
  const restored: DurableState<string> = {...emptyState<string>(), entries};
  const random = seededRandom(7);
  const core = new ConsensusCore<string>({id: NEW, restored, random, now: 0});
  core.step({kind: 'require', now: 1, index: READ_INDEX});
  return core;
};

const send = (
  core: ConsensusCore<string>,
  message: ConsensusMessage<string>,
): void => {
  core.step({kind: 'message', now: 2, envelope: {from: A, to: NEW, message}});
};

describe('index that a node must reach', () => {
  it('a VM that lost its disk shows nothing when its snapshot ends below the read index', () => {
    const core = learnerWith([]);
    send(core, {
      kind: 'snapshot_chunk',
      term: 3,
      index: 3,
      snapshotTerm: 2,
      members: MEMBERS,
      offset: 0,
      chunk: new Uint8Array(1),
      isLast: true,
      round: 1,
    });
    expect(core.status.commitIndex).to.equal(3);
    expect(core.status.isCurrent).to.equal(false);
    send(core, {
      kind: 'append',
      term: 3,
      prevIndex: 3,
      prevTerm: 2,
      entries: [entry(3, 4), entry(3, 5)],
      commitIndex: READ_INDEX,
      round: 2,
    });
    expect(core.status.isCurrent).to.equal(true);
  });
  it('a learner that drops uncommitted entries shows nothing below the read index', () => {
    const core = learnerWith([1, 2, 3, 4, 5, 6].map(index => entry(2, index)));
    send(core, {
      kind: 'append',
      term: 3,
      prevIndex: 2,
      prevTerm: 2,
      entries: [entry(3, 3)],
      commitIndex: 3,
      round: 1,
    });
    expect(core.status.commitIndex).to.equal(3);
    expect(core.status.isCurrent).to.equal(false);
  });
});
