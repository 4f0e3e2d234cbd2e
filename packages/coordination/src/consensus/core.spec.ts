import {expect} from 'chai';
import {asId, seededRandom, type NodeId} from '@primrosewick/state';
import {ConsensusCore} from './core.js';
import {InputBatcher} from './input_batcher.js';
import type {Entry, Envelope, Members} from './types.js';

const [A, B, C, D, E] = ['a', 'b', 'c', 'd', 'e'].map(name =>
  asId<NodeId>(`${name}~1`),
) as [NodeId, NodeId, NodeId, NodeId, NodeId];
const MEMBERS: Members = {voters: [A, B, C, D, E], learners: []};

const command = (term: number, index: number): Entry<string> => ({
  term,
  index,
  body: {kind: 'command', command: `${term}.${index}`},
});
const members: Entry<string> = {
  term: 1,
  index: 1,
  body: {kind: 'members', members: MEMBERS},
};

const makeCore = (
  id: NodeId,
  term: number,
  entries: ReadonlyArray<Entry<string>>,
): ConsensusCore<string> =>
  new ConsensusCore<string>({
    id,
    restored: {hardState: {term, votedFor: null}, snapshot: null, entries},
    random: seededRandom(7),
    now: 0,
    timing: {quickElectionMs: 100},
  });

/** Elects a node leader of the next term with the votes of two others. */
const elect = (core: ConsensusCore<string>, id: NodeId): number => {
  core.step({kind: 'tick', now: 10_000});
  const term = core.status.term + 1;
  for (const isPreVote of [true, false]) {
    for (const from of [B, C]) {
      core.step({
        kind: 'message',
        now: 10_001,
        envelope: {
          from,
          to: id,
          message: {kind: 'vote_reply', term, isPreVote, isGranted: true},
        },
      });
    }
  }
  return term;
};

const heartbeat = {
  kind: 'append' as const,
  term: 3,
  prevIndex: 1,
  prevTerm: 1,
  entries: [],
  commitIndex: 1,
  round: 1,
};

/** A voter that has just received a heartbeat from a leader. */
const followerOf = (leader: NodeId): ConsensusCore<string> => {
  const core = makeCore(A, 3, [members]);
  core.step({
    kind: 'message',
    now: 100,
    envelope: {from: leader, to: A, message: heartbeat},
  });
  return core;
};

const accept = (
  from: NodeId,
  to: NodeId,
  term: number,
  index: number,
): Envelope<string> => ({
  from,
  to,
  message: {kind: 'append_reply', term, isAccepted: true, index, round: 1},
});

describe('consensus core', () => {
  it('an entry of an earlier term is not committed by counting copies', () => {
    const core = makeCore(A, 3, [members, command(2, 2)]);
    const term = elect(core, A);
    expect(core.status.role).to.equal('leader');
    for (const from of [B, C])
      core.step({
        kind: 'message',
        now: 10_002,
        envelope: accept(from, A, term, 2),
      });
    expect(core.status.commitIndex).to.equal(0);
    for (const from of [B, C])
      core.step({
        kind: 'message',
        now: 10_003,
        envelope: accept(from, A, term, 3),
      });
    expect(core.status.commitIndex).to.equal(3);
  });
  it('a new node that becomes leader is current once its first entry is committed', () => {
    const core = makeCore(A, 3, []);
    const append = {
      kind: 'append' as const,
      term: 3,
      prevIndex: 0,
      prevTerm: 0,
      entries: [members],
      commitIndex: 1,
      round: 1,
    };
    core.step({
      kind: 'message',
      now: 100,
      envelope: {from: B, to: A, message: append},
    });
    expect(core.status.isCurrent).to.equal(false);
    const term = elect(core, A);
    for (const from of [B, C])
      core.step({
        kind: 'message',
        now: 10_003,
        envelope: accept(from, A, term, 2),
      });
    expect(core.status.isCurrent).to.equal(true);
  });
  it('a leader without a quorum steps down', () => {
    const core = makeCore(A, 3, [members]);
    elect(core, A);
    core.step({kind: 'tick', now: 20_000});
    expect(core.status.role).to.equal('follower');
  });
  it('a heartbeat during a write tells the commit index, as it makes a copy count as fresh', () => {
    const core = makeCore(A, 3, [members, command(2, 2)]);
    const term = elect(core, A);
    for (const from of [B, C])
      core.step({
        kind: 'message',
        now: 10_002,
        envelope: accept(from, A, term, 3),
      });
    expect(core.status.commitIndex).to.equal(3);
    const told = core
      .takeHeartbeats(10_900)
      .map(({message}) => message.kind === 'append' && message.commitIndex);
    expect(told).to.eql([3, 3, 3, 3]);
  });
  it('a reply that waited during a write counts as heard when it arrived', () => {
    const core = makeCore(A, 3, [members]);
    const term = elect(core, A);
    expect(core.takeHeartbeats(10_900)).to.have.length(4);
    for (const from of [B, C])
      core.step({
        kind: 'message',
        now: 10_100,
        envelope: accept(from, A, term, 2),
      });
    expect(core.status.lastContactAt).to.equal(10_100);
    const reply = (from: NodeId, round: number): Envelope<string> => ({
      from,
      to: A,
      message: {kind: 'append_reply', term, isAccepted: true, index: 2, round},
    });
    for (const from of [B, C])
      core.step({kind: 'message', now: 10_950, envelope: reply(from, 2)});
    expect(core.leadershipConfirmedAt).to.equal(10_900);
  });
  it('a node with a live leader rejects a vote request', () => {
    const core = makeCore(A, 3, [members]);
    const append = {
      kind: 'append' as const,
      term: 3,
      prevIndex: 1,
      prevTerm: 1,
      entries: [],
      commitIndex: 1,
      round: 1,
    };
    core.step({
      kind: 'message',
      now: 100,
      envelope: {from: B, to: A, message: append},
    });
    const request = {
      kind: 'vote_request' as const,
      term: 9,
      lastIndex: 9,
      lastTerm: 9,
      isPreVote: false,
      isTransfer: false,
    };
    const {messages} = core.step({
      kind: 'message',
      now: 200,
      envelope: {from: C, to: A, message: request},
    });
    expect(messages).to.have.nested.property('[0].message.isGranted', false);
    expect(core.status.term).to.equal(3);
  });
  it('a lost connection from the leader starts a quick election', () => {
    const core = followerOf(B);
    core.step({kind: 'leader_lost', now: 200});
    const {messages} = core.step({kind: 'tick', now: 200 + 3 * 100});
    expect(messages[0]?.message).to.include({
      kind: 'vote_request',
      isPreVote: true,
    });
    // Without the lost connection no election starts at this time.
    const other = followerOf(B);
    expect(other.step({kind: 'tick', now: 500}).messages).to.have.length(0);
  });
  it('a heartbeat after a lost connection cancels the quick election', () => {
    const core = followerOf(B);
    core.step({kind: 'leader_lost', now: 200});
    core.step({
      kind: 'message',
      now: 300,
      envelope: {from: B, to: A, message: heartbeat},
    });
    expect(core.step({kind: 'tick', now: 700}).messages).to.have.length(0);
    expect(core.status.leader).to.equal(B);
  });
  it('a message for another identity is ignored', () => {
    const core = makeCore(A, 3, [members]);
    const request = {
      kind: 'vote_request' as const,
      term: 9,
      lastIndex: 9,
      lastTerm: 9,
      isPreVote: false,
      isTransfer: true,
    };
    const effects = core.step({
      kind: 'message',
      now: 100,
      envelope: {from: C, to: asId<NodeId>('a~2'), message: request},
    });
    expect(effects.messages).to.have.length(0);
  });
  it('members change one at a time, and only after a commit in the current term', () => {
    const core = makeCore(A, 3, [members]);
    const term = elect(core, A);
    const change = {kind: 'remove' as const, node: E};
    const ask = (token: number) =>
      core.step({kind: 'change_members', now: 10_002, token, change})
        .answers[0];
    expect(ask(1)).to.deep.equal({
      kind: 'refused',
      token: 1,
      why: 'change_pending',
    });
    for (const from of [B, C])
      core.step({
        kind: 'message',
        now: 10_003,
        envelope: accept(from, A, term, 2),
      });
    expect(ask(2)).to.include({kind: 'appended', index: 3});
    expect(ask(3)).to.deep.equal({
      kind: 'refused',
      token: 3,
      why: 'change_pending',
    });
  });
  it('one chunk of a snapshot is in flight at a time while entries are committed', () => {
    const core = makeCore(A, 3, [members]);
    const term = elect(core, A);
    const message = (from: NodeId, index: number) =>
      core.step({
        kind: 'message',
        now: 10_003,
        envelope: accept(from, A, term, index),
      });
    for (const from of [B, C, D]) message(from, 2);
    core.step({
      kind: 'compact',
      now: 10_003,
      index: 2,
      data: new Uint8Array(600_000),
    });
    core.step({
      kind: 'message',
      now: 10_003,
      envelope: {
        from: E,
        to: A,
        message: {
          kind: 'append_reply',
          term,
          isAccepted: false,
          index: 1,
          round: 1,
        },
      },
    });
    let chunks = 0;
    for (let index = 3; index < 30; index++) {
      const command = `${index}`;
      core.step({kind: 'propose', now: 10_004, token: index, command});
      for (const from of [B, C, D])
        chunks += message(from, index).messages.filter(
          ({message: sent}) => sent.kind === 'snapshot_chunk',
        ).length;
    }
    expect(chunks).to.equal(0);
    const chunksAt = (now: number): number =>
      core
        .step({kind: 'tick', now})
        .messages.filter(({message: sent}) => sent.kind === 'snapshot_chunk')
        .length;
    expect(chunksAt(10_900)).to.equal(0);
    for (const from of [B, C, D]) message(from, 29);
    expect(chunksAt(11_600)).to.equal(1);
  });
  it('proposals of one batch are sent to each follower in one message', () => {
    const core = makeCore(A, 3, [members]);
    const term = elect(core, A);
    for (const from of [B, C, D, E])
      core.step({
        kind: 'message',
        now: 10_003,
        envelope: accept(from, A, term, 2),
      });
    const pump = new InputBatcher(core);
    for (let token = 1; token <= 20; token++)
      pump.offer({kind: 'propose', now: 10_004, token, command: `${token}`});
    const appends = pump
      .runProposals()
      .messages.flatMap(({message}) =>
        message.kind === 'append' ? [message.entries.length] : [],
      );
    expect(appends).to.eql([20, 20, 20, 20]);
  });
  it('followers get a commit index after the notice delay if no entries follow', () => {
    const core = makeCore(A, 3, [members]);
    const term = elect(core, A);
    const ack = (from: NodeId, index: number) =>
      core.step({
        kind: 'message',
        now: 10_003,
        envelope: accept(from, A, term, index),
      }).messages;
    for (const from of [B, C]) expect(ack(from, 2)).to.eql([]);
    expect(core.status.commitNoticeAt).to.equal(10_013);
    const notices = core.step({kind: 'tick', now: 10_013}).messages;
    expect(
      notices.map(
        ({message}) => message.kind === 'append' && message.commitIndex,
      ),
    ).to.eql([2, 2, 2, 2]);
    expect(core.status.commitNoticeAt).to.equal(Number.POSITIVE_INFINITY);
  });
});
