import {encode} from '@msgpack/msgpack';
import {expect} from 'chai';
import {MAX_LINK_FRAME_BYTES} from '@primrosewick/protocol';
import {asId, seededRandom, type NodeId} from '@primrosewick/state';
import {ConsensusCore} from './core.js';
import {InputBatcher} from './input_batcher.js';
import {DEFAULT_CONSENSUS_TIMING, type Entry, type Envelope} from './types.js';

const [A, B, C, D, E] = ['a', 'b', 'c', 'd', 'e'].map(name =>
  asId<NodeId>(`${name}~1`),
) as [NodeId, NodeId, NodeId, NodeId, NodeId];
const VOTERS = [A, B, C, D, E];
const MESSAGE_ENTRIES = DEFAULT_CONSENSUS_TIMING.maxEntriesPerMessage;
/** Entries of a large configuration, and the size of one, in bytes. */
const LARGE = {count: 120, bytes: 100_000};
/** Last index of the leader's log when a voter reconnects. */
const LAST = 5000;

/** A voter whose log has entries up to an index, with a text of a length each. */
const makeCore = (
  id: NodeId,
  last: number,
  textLength = 1,
): ConsensusCore<string> => {
  const command = 'c'.repeat(textLength);
  const commands = Array.from({length: last - 1}, (_, i): Entry<string> => ({
    term: 1,
    index: i + 2,
    body: {kind: 'command', command},
  }));
  const members = {voters: VOTERS, learners: []};
  return new ConsensusCore<string>({
    id,
    restored: {
      hardState: {term: 1, votedFor: null},
      snapshot: null,
      entries: [
        {term: 1, index: 1, body: {kind: 'members', members}},
        ...commands,
      ],
    },
    random: seededRandom(7),
    now: 0,
    timing: {quickElectionMs: 100},
  });
};

/** A leader that two voters follow, and that made 20 reads while the others were cut off. */
const makeLeader = (last = LAST, textLength = 1) => {
  const core = makeCore(A, last, textLength);
  let now = 10_000;
  const step = (input: Parameters<typeof core.step>[0]) =>
    core.step({...input, now: ++now}).messages;
  step({kind: 'tick', now});
  const term = core.status.term + 1;
  const hear = (from: NodeId, message: Envelope<string>['message']) =>
    step({kind: 'message', now, envelope: {from, to: A, message}});
  const votes = [true, false].flatMap(isPreVote =>
    [B, C].map(from => ({from, isPreVote})),
  );
  for (const {from, isPreVote} of votes)
    hear(from, {kind: 'vote_reply', term, isPreVote, isGranted: true});
  const reply = (isAccepted: boolean, index: number, round: number) =>
    ({kind: 'append_reply', term, isAccepted, index, round}) as const;
  for (const from of [B, C]) hear(from, reply(true, last + 1, 1));
  for (let token = 0; token < 20; token++) step({kind: 'read', now, token});
  return {core, step, hear, reply, now: () => now};
};

const appendsTo = (
  messages: ReadonlyArray<Envelope<string>>,
  voter: NodeId,
): Array<ReadonlyArray<Entry<string>>> =>
  messages.flatMap(({to, message}) =>
    to === voter && message.kind === 'append' ? [message.entries] : [],
  );

const bytesOf = (entries: ReadonlyArray<Entry<string>>): number =>
  encode(entries).length;

const sentTo = (
  messages: ReadonlyArray<Envelope<string>>,
  voter: NodeId,
): number =>
  messages.reduce(
    (sum, {to, message}) =>
      to === voter && message.kind === 'append'
        ? sum + message.entries.length
        : sum,
    0,
  );

/** Delivers messages to a voter, and its replies, until none are left. */
const exchange = (
  {hear}: ReturnType<typeof makeLeader>,
  voter: ConsensusCore<string>,
  first: ReadonlyArray<Envelope<string>>,
): {
  readonly most: number;
  readonly total: number;
  readonly longestMessage: number;
} => {
  const {id} = voter.status;
  let messages = first.filter(({to}) => to === id);
  let most = 0;
  let total = 0;
  let longestMessage = 0;
  while (messages.length > 0) {
    most = Math.max(most, sentTo(messages, id));
    total += sentTo(messages, id);
    for (const entries of appendsTo(messages, id))
      longestMessage = Math.max(longestMessage, bytesOf(entries));
    messages = messages
      .flatMap(
        envelope =>
          voter.step({kind: 'message', now: 10_200, envelope}).messages,
      )
      .flatMap(({message}) => hear(id, message))
      .filter(({to}) => to === id);
  }
  return {most, total, longestMessage};
};

describe('catch-up of reconnected voters', () => {
  it('a voter that rejects many heartbeats gets at most one message of entries', () => {
    const {core, reply, now} = makeLeader();
    const pump = new InputBatcher(core);
    for (let round = 2; round <= 21; round++)
      for (const [from, index] of [
        [D, 2],
        [E, 500],
      ] as const)
        pump.offer({
          kind: 'message',
          now: now(),
          envelope: {from, to: A, message: reply(false, index, round)},
        });
    const {messages} = pump.runOthers();
    expect(sentTo(messages, D)).to.be.at.most(MESSAGE_ENTRIES);
    expect(sentTo(messages, E)).to.be.at.most(MESSAGE_ENTRIES);
  });
  it('a lagging voter gets more entries only once the last message is acknowledged', () => {
    const {step, hear, reply, now} = makeLeader();
    hear(D, reply(false, 2, 21));
    const first = hear(D, reply(true, 1, 22));
    expect(sentTo(first, D)).to.equal(MESSAGE_ENTRIES);
    for (let token = 30; token < 40; token++) {
      const proposed = step({
        kind: 'propose',
        now: now(),
        token,
        command: 'p',
      });
      const read = step({kind: 'read', now: now(), token: token + 10});
      expect(sentTo([...proposed, ...read], D)).to.equal(0);
    }
    const next = hear(D, reply(true, 1 + MESSAGE_ENTRIES, 22));
    expect(sentTo(next, D)).to.equal(MESSAGE_ENTRIES);
  });
  it('a rejection of an old heartbeat causes no resend', () => {
    const {hear, reply} = makeLeader();
    hear(D, reply(false, 2, 2));
    expect(sentTo(hear(D, reply(true, 1, 22)), D)).to.equal(MESSAGE_ENTRIES);
    for (let round = 3; round <= 21; round++)
      expect(sentTo(hear(D, reply(false, 2, round)), D)).to.equal(0);
  });
  it('a voter far behind gets each entry once, one full message at a time', () => {
    const leader = makeLeader();
    const voter = makeCore(D, 100);
    const heartbeat = leader.step({kind: 'read', now: 0, token: 50});
    const {most, total} = exchange(leader, voter, heartbeat);
    expect(voter.status.lastIndex).to.equal(LAST + 1);
    expect(total).to.equal(LAST + 1 - 100);
    expect(most).to.equal(MESSAGE_ENTRIES);
  });
  it('a lost message is resent after the next heartbeat', () => {
    const leader = makeLeader();
    const voter = makeCore(D, 100);
    leader.hear(D, leader.reply(false, 101, 21));
    const heartbeat = leader.step({kind: 'read', now: 0, token: 50});
    exchange(leader, voter, heartbeat);
    expect(voter.status.lastIndex).to.equal(LAST + 1);
  });
  it('a voter that has caught up gets new entries at once', () => {
    const leader = makeLeader();
    const voter = makeCore(D, 100);
    exchange(leader, voter, leader.step({kind: 'read', now: 0, token: 50}));
    for (let token = 60; token < 63; token++) {
      const messages = leader.step({
        kind: 'propose',
        now: 0,
        token,
        command: 'p',
      });
      expect(sentTo(messages, D)).to.equal(1);
    }
  });
  // Guards against a learner that never catches up, as its entries exceed a frame.
  it('a learner far behind gets large entries in messages that fit in a frame', () => {
    const leader = makeLeader(LARGE.count, LARGE.bytes);
    const voter = makeCore(D, 1);
    const heartbeat = leader.step({kind: 'read', now: 0, token: 50});
    const {longestMessage} = exchange(leader, voter, heartbeat);
    expect(voter.status.lastIndex).to.equal(LARGE.count + 1);
    expect(longestMessage).to.be.at.most(MAX_LINK_FRAME_BYTES / 2);
  });
  // Guards against large entries that pile up for a voter that does not answer.
  it('a voter that does not answer is sent a bounded number of bytes', () => {
    const {step, hear, reply, now} = makeLeader(LARGE.count, LARGE.bytes);
    hear(D, reply(true, LARGE.count + 1, 22));
    const command = 'c'.repeat(LARGE.bytes);
    let bytes = 0;
    for (let token = 60; token < 60 + LARGE.count; token++) {
      const messages = step({kind: 'propose', now: now(), token, command});
      for (const entries of appendsTo(messages, D)) bytes += bytesOf(entries);
    }
    expect(bytes).to.be.greaterThan(0);
    expect(bytes).to.be.at.most(MAX_LINK_FRAME_BYTES);
  });
  // Guards against a leader whose log grows by entries that nobody acknowledges.
  it('entries that are not committed are bounded by their bytes', () => {
    const {core, now} = makeLeader(LARGE.count, LARGE.bytes);
    const {maxUncommittedBytes} = DEFAULT_CONSENSUS_TIMING;
    const count = Math.ceil((2 * maxUncommittedBytes) / LARGE.bytes);
    const answers = Array.from({length: count}, (_, token) =>
      core.step({
        kind: 'propose',
        now: now(),
        token,
        command: 'c'.repeat(LARGE.bytes),
      }),
    ).flatMap(effects => effects.answers);
    const appended = answers.filter(({kind}) => kind === 'appended').length;
    expect(appended * LARGE.bytes).to.be.within(
      maxUncommittedBytes - LARGE.bytes,
      maxUncommittedBytes + LARGE.bytes,
    );
    expect(answers).to.deep.include({
      kind: 'refused',
      token: count - 1,
      why: 'overloaded',
    });
  });
  // Guards against an entry that is never sent, as it alone exceeds the bound.
  it('an entry larger than the bound of a message goes alone', () => {
    const bytes = DEFAULT_CONSENSUS_TIMING.maxBytesPerMessage + 1;
    const leader = makeLeader(5, bytes);
    const voter = makeCore(D, 1);
    const heartbeat = leader.step({kind: 'read', now: 0, token: 50});
    const {most} = exchange(leader, voter, heartbeat);
    expect(voter.status.lastIndex).to.equal(6);
    expect(most).to.equal(1);
  });
});
