import {expect} from 'chai';
import type {LinkLeaderReply} from '@primrosewick/protocol';
import type {VmId} from '@primrosewick/state';
import type {LinkCaller} from '@primrosewick/transport';
import {LeaderReadIndex} from './leader_read_index.js';

type IndexReply = LinkLeaderReply<{readonly index: number}>;

const LEADER = 'leader' as VmId;
const NOT_LEADER: IndexReply = {kind: 'not_leader', leader: null};
const indexReply = (index: number): IndexReply => ({
  kind: 'ok',
  value: {index},
});

/** The read index of a VM, and the calls that it makes. */
const makeSource = (
  own: IndexReply,
  peer: IndexReply | (() => IndexReply),
  leader: VmId | null = LEADER,
) => {
  const calls: string[] = [];
  const source = new LeaderReadIndex({
    peers: {
      call: async (to: VmId, method: string) => {
        calls.push(`${to} ${method}`);
        return typeof peer === 'function' ? peer() : peer;
      },
    } as unknown as LinkCaller,
    askOwn: async () => own,
    leaderVm: () => leader,
  });
  return {source, calls};
};
const codeOf = (index: Promise<number>): Promise<unknown> =>
  index.then(
    () => undefined,
    ({code}: {code: unknown}) => code,
  );

describe('read index of the leader', () => {
  it('a VM that leads asks no other', async () => {
    const {source, calls} = makeSource(indexReply(7), NOT_LEADER);
    expect(await source.ask()).to.equal(7);
    expect(calls).to.eql([]);
  });
  it('a follower asks the leader for the index only', async () => {
    const {source, calls} = makeSource(NOT_LEADER, indexReply(9));
    expect(await source.ask()).to.equal(9);
    expect(calls).to.eql(['leader readIndex']);
  });
  it('a VM that no longer leads confirms nothing', async () => {
    const {source} = makeSource(NOT_LEADER, NOT_LEADER);
    expect(await codeOf(source.ask())).to.equal('not_leader');
  });
  it('a former leader that names its successor leads to it', async () => {
    const peers: IndexReply[] = [
      {kind: 'not_leader', leader: 'next' as VmId},
      indexReply(9),
    ];
    const {source, calls} = makeSource(NOT_LEADER, () => peers.shift()!);
    expect(await source.ask()).to.equal(9);
    expect(calls).to.eql(['leader readIndex', 'next readIndex']);
  });
  it('a reply without an index confirms no replica', async () => {
    for (const odd of [undefined, Number.NaN, 'x']) {
      const reply = indexReply(odd as number);
      const {source} = makeSource(NOT_LEADER, reply);
      expect(await codeOf(source.ask())).to.equal('log_unavailable');
    }
  });
  it('without a known leader nobody is asked', async () => {
    const {source, calls} = makeSource(NOT_LEADER, indexReply(9), null);
    expect(await codeOf(source.ask())).to.equal('not_leader');
    expect(calls).to.eql([]);
  });
});
