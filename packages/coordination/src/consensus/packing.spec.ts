import {expect} from 'chai';
import {decode, encode} from '@msgpack/msgpack';
import {asId, type NodeId} from '@primrosewick/state';
import {EntryPacker, unpackEnvelope, type PackedEnvelope} from './packing.js';
import type {Entry, Envelope} from './types.js';

const [A, B, C] = ['a', 'b', 'c'].map(name => asId<NodeId>(`${name}~1`)) as [
  NodeId,
  NodeId,
  NodeId,
];
const ENTRY: Entry<string> = {
  term: 2,
  index: 7,
  body: {kind: 'command', command: 'x'},
};
const append = (to: NodeId, entries: ReadonlyArray<Entry<string>>) =>
  ({
    from: A,
    to,
    message: {
      kind: 'append',
      term: 2,
      prevIndex: 6,
      prevTerm: 1,
      entries,
      commitIndex: 6,
      round: 1,
    },
  }) as Envelope<string>;

/** Encodes and decodes an envelope as on the wire. */
const carry = (packed: PackedEnvelope<string>): Envelope<string> =>
  unpackEnvelope(decode(encode(packed)) as PackedEnvelope<string>);

describe('packing of entries', () => {
  it('an envelope is unchanged after packing and unpacking', () => {
    const packer = new EntryPacker<string>();
    for (const envelope of [append(B, [ENTRY]), append(B, [])])
      expect(carry(packer.pack(envelope))).to.eql(envelope);
  });
  it('entries that go to several followers are encoded once', () => {
    const packer = new EntryPacker<string>();
    const bytesOf = (to: NodeId, entries: ReadonlyArray<Entry<string>>) => {
      const {message} = packer.pack(append(to, entries));
      return message.kind === 'append' ? message.entries : undefined;
    };
    expect(bytesOf(B, [ENTRY])).to.equal(bytesOf(C, [ENTRY]));
    const other = {...ENTRY, term: 3};
    expect(bytesOf(B, [other])).to.not.eql(bytesOf(C, [ENTRY]));
  });
  it('bytes that do not decode to entries throw when unpacked', () => {
    const {message, ...rest} = append(B, []);
    const broken = {
      ...rest,
      message: {...message, entries: new Uint8Array([0xc1])},
    };
    expect(() => unpackEnvelope(broken as PackedEnvelope<string>)).to.throw();
  });
});
