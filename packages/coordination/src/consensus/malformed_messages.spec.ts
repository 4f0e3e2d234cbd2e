import {expect} from 'chai';
import fc from 'fast-check';
import {pause, systemClock} from '@primrosewick/transport';
import {decodeEnvelope} from './envelope_check.js';
import {makePair, startPair} from './fixtures.js';
import type {PackedEnvelope} from './packing.js';

const [FROM, TO] = ['b~1', 'a~1'];
const SEED = 31;

/** An envelope to the leader with the given message. */
const envelope = (message: unknown) =>
  ({from: FROM, to: TO, message}) as unknown as PackedEnvelope<string>;

const APPEND = {
  kind: 'append',
  term: 1,
  prevIndex: 1,
  prevTerm: 1,
  commitIndex: 1,
  round: 1,
  entries: new Uint8Array(0),
};

/** Messages that no VM of the cell sends, by what is wrong with them. */
const ODD_MESSAGES: Readonly<Record<string, unknown>> = {
  'an unknown kind': {kind: 'odd', term: 99},
  'a kind of every object': {kind: 'constructor', term: 1},
  'no kind': {},
  'no message': null,
  'a term that is no number': {...APPEND, term: 'x'},
  'a term of 1e308': {...APPEND, term: 1e308},
  'entries that do not decode': {...APPEND, entries: new Uint8Array([0xc1])},
  'entries that are no list': {...APPEND, entries: new Uint8Array([0x01])},
  'an entry that is no object': {...APPEND, entries: new Uint8Array([0x91, 1])},
  'members that are no lists': {kind: 'snapshot_chunk', term: 1, members: {}},
};

describe('malformed messages of another VM', () => {
  for (const [wrong, message] of Object.entries(ODD_MESSAGES))
    it(`a message with ${wrong} neither ends the voter nor holds up its sender`, async () => {
      const pair = makePair();
      const {tasks, leader} = pair;
      try {
        await startPair(pair);
        const answer = await Promise.race([
          leader.receive('b' as never, [envelope(message)]),
          pause(systemClock, 200).then(() => 'none'),
        ]);
        expect(answer).to.eql([]);
        await leader.propose('after');
        expect(leader.logStatus.failure).to.equal(null);
      } finally {
        for (const task of tasks) task.stop();
      }
    }).timeout(5000);
  it('any value is decoded or left out, without an exception', () => {
    fc.assert(
      fc.property(fc.anything(), fc.anything(), (any, part) => {
        decodeEnvelope(any);
        decodeEnvelope(envelope(any));
        decodeEnvelope(envelope({...APPEND, entries: part}));
        decodeEnvelope(envelope({...APPEND, prevIndex: part}));
      }),
      {seed: SEED, numRuns: 500},
    );
  });
  it('sound messages are kept', () => {
    expect(decodeEnvelope(envelope(APPEND))).to.deep.include({from: FROM});
  });
});
