import {expect} from 'chai';
import {asId, seededRandom, type NodeId} from '@primrosewick/state';
import {ConsensusCore} from './core.js';
import type {ConsensusMessage, Members} from './types.js';

const [A, B, C] = ['a~1', 'b~1', 'c~1'].map(name => asId<NodeId>(name)) as [
  NodeId,
  NodeId,
  NodeId,
];
const MEMBERS: Members = {voters: [A, B, C], learners: []};
const TIMING = {heartbeatMs: 120, electionMs: 700, quickElectionMs: 150};

type Core = ConsensusCore<string>;

const send = (
  core: Core,
  now: number,
  from: NodeId,
  message: ConsensusMessage<string>,
): void => {
  core.step({kind: 'message', now, envelope: {from, to: A, message}});
};

/** A leader of three voters; it has led since the returned time, in ms. */
const makeLeader = (): {readonly core: Core; readonly now: number} => {
  const core: Core = new ConsensusCore<string>({
    id: A,
    restored: {
      hardState: {term: 1, votedFor: null},
      snapshot: null,
      entries: [{term: 1, index: 1, body: {kind: 'members', members: MEMBERS}}],
    },
    random: seededRandom(7),
    now: 0,
    timing: TIMING,
  });
  const now = 10_000;
  core.step({kind: 'tick', now});
  for (const isPreVote of [true, false])
    send(core, now, B, {
      kind: 'vote_reply',
      term: 2,
      isPreVote,
      isGranted: true,
    });
  expect(core.status.role).to.equal('leader');
  return {core, now};
};

/** Replies of both followers that arrive at a time in ms. */
const reply = (core: Core, now: number): void => {
  for (const from of [B, C])
    send(core, now, from, {
      kind: 'append_reply',
      term: 2,
      isAccepted: true,
      index: 2,
      round: 1,
    });
};

/** Ticks at intervals of `everyMs` after `start`; @returns the time of the last, in ms. */
const tick = (
  core: Core,
  start: number,
  everyMs: number,
  count: number,
): number => {
  for (let i = 1; i <= count; i++)
    core.step({kind: 'tick', now: start + i * everyMs});
  return start + count * everyMs;
};

describe('a leader that is late', () => {
  it('does not lay its leadership down for replies that it has not read', () => {
    const {core, now} = makeLeader();
    reply(core, now + 60);
    // One turn of the event loop takes longer than an election; its tick comes
    // before the replies that arrived meanwhile.
    const late = now + 60 + 1200;
    core.step({kind: 'tick', now: late});
    expect(core.status.role).to.equal('leader');
    reply(core, late + 1);
    tick(core, late, 60, 30);
    expect(core.status.role).to.not.equal('leader');
  });
  it('stays the leader while each turn is long and replies are read in between', () => {
    const {core, now} = makeLeader();
    for (let turn = 1; turn <= 20; turn++) {
      core.step({kind: 'tick', now: now + turn * 800});
      reply(core, now + turn * 800 + 1);
    }
    expect(core.status.role).to.equal('leader');
  });
  it('steps down when it hears nobody, however long its turns are', () => {
    const {core, now} = makeLeader();
    tick(core, now, 800, 4);
    expect(core.status.role).to.not.equal('leader');
  });
  it('steps down at once after a pause in which another was elected', () => {
    const {core, now} = makeLeader();
    reply(core, now + 60);
    core.step({kind: 'tick', now: now + 60 + 2 * TIMING.electionMs});
    expect(core.status.role).to.not.equal('leader');
  });
  it('steps down within two election timeouts when its turns are short', () => {
    const {core, now} = makeLeader();
    tick(core, now, 60, Math.ceil((2 * TIMING.electionMs) / 60));
    expect(core.status.role).to.not.equal('leader');
  });
});
