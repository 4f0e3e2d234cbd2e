import {expect} from 'chai';
import {asId, type NodeId, type VmId} from '@primrosewick/state';
import {Outbox} from './outbox.js';
import type {PackedEnvelope} from './packing.js';
import type {Entry, Envelope} from './types.js';

const [A, B] = ['a~1', 'b~1'].map(id => asId<NodeId>(id)) as [NodeId, NodeId];
const VM_B = asId<VmId>('b');
const MAX_CALL_BYTES = 1024 * 1024;

const appendOf = (prevIndex: number, textLength: number): Envelope<string> => ({
  from: A,
  to: B,
  message: {
    kind: 'append',
    term: 1,
    prevIndex,
    prevTerm: 1,
    entries: [
      {
        term: 1,
        index: prevIndex + 1,
        body: {kind: 'command', command: 'c'.repeat(textLength)},
      } as Entry<string>,
    ],
    commitIndex: 0,
    round: 1,
  },
});

/** An outbox, and the previous indexes of the messages in each of its calls. */
const makeOutbox = () => {
  const calls: number[][] = [];
  const outbox = new Outbox<string>({
    peers: {
      call: async (_to, _method, {envelopes}) => {
        calls.push(indexesOf(envelopes as Array<PackedEnvelope<string>>));
        return {envelopes: []};
      },
    },
    onReply: () => undefined,
  });
  return {outbox, calls};
};

const indexesOf = (
  envelopes: ReadonlyArray<PackedEnvelope<string>>,
): number[] =>
  envelopes.map(({message}) =>
    message.kind === 'append' ? message.prevIndex : -1,
  );

describe('calls of an outbox', () => {
  // Guards against messages that fit one by one and exceed a frame together.
  it('messages to one VM go in several calls, in their order', () => {
    const {outbox, calls} = makeOutbox();
    const messages = [1, 2, 3, 4, 5].map(at =>
      appendOf(at, MAX_CALL_BYTES / 2 - 100),
    );
    outbox.send(messages, []);
    expect(calls).to.eql([[1, 2], [3, 4], [5]]);
  });
  it('small messages share a call, and a large one goes alone', () => {
    const {outbox, calls} = makeOutbox();
    outbox.send(
      [appendOf(1, 10), appendOf(2, 10), appendOf(3, 2 * MAX_CALL_BYTES)],
      [],
    );
    expect(calls).to.eql([[1, 2], [3]]);
  });
  it('messages that fit go in the reply to a waiting VM, others in calls', () => {
    const {outbox, calls} = makeOutbox();
    const replies: number[][] = [];
    const caller = {
      vm: VM_B,
      resolve: (all: ReadonlyArray<PackedEnvelope<string>>) =>
        void replies.push(indexesOf(all)),
    };
    outbox.send([appendOf(1, 10)], [caller]);
    outbox.send(
      [appendOf(2, MAX_CALL_BYTES), appendOf(3, MAX_CALL_BYTES)],
      [caller],
    );
    expect(replies).to.eql([[1], []]);
    expect(calls).to.eql([[2], [3]]);
  });
});
