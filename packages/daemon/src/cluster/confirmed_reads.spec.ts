import {expect} from 'chai';
import {CellError, type VmId} from '@primrosewick/state';
import {pause, systemClock, type LinkCaller} from '@primrosewick/transport';
import {ConfirmedReads} from './confirmed_reads.js';

const ADDRESS = {host: 'h', path: '/q/a'};
const TIMEOUT_MS = 1000;
const ANSWER = {kind: 'unknown_workflow'};

type Replica = (timeoutMs: number) => Promise<unknown>;

const answers: Replica = async () => ({answer: ANSWER, index: 7});
const fails: Replica = async () => {
  throw new CellError({code: 'peer_unreachable', step: 'call'});
};
const hangs: Replica = async timeoutMs => {
  await pause(systemClock, timeoutMs);
  throw new CellError({code: 'peer_timeout', step: 'call'});
};

/** Reads from replicas that are asked in this order. */
const makeReads = (replicas: readonly Replica[]) => {
  const asked: VmId[] = [];
  const indexes: number[] = [];
  const reads = new ConfirmedReads({
    gateway: {
      followerVms: replicas.map((_, i) => String(i) as VmId),
      observeIndex: index => indexes.push(index),
    },
    peers: {
      call: (vm: VmId, _method: string, {timeoutMs}: {timeoutMs: number}) => {
        asked.push(vm);
        return replicas[Number(vm)]!(timeoutMs);
      },
    } as unknown as LinkCaller,
    clock: systemClock,
    own: null,
  });
  const read = () => reads.read(ADDRESS, performance.now() + TIMEOUT_MS);
  return {read, asked, indexes};
};

describe('confirmed reads of several replicas', () => {
  it('one replica is asked, and its index is known from then on', async () => {
    const {read, asked, indexes} = makeReads([answers, answers]);
    expect(await read()).to.eql(ANSWER);
    expect(asked).to.eql(['0']);
    expect(indexes).to.eql([7]);
  });
  it('the next replica is asked at once when one fails', async () => {
    const {read} = makeReads([fails, answers]);
    const startedAt = performance.now();
    expect(await read()).to.eql(ANSWER);
    expect(performance.now() - startedAt).to.be.lessThan(200);
  });
  it('the next replica is asked in time when one hangs', async () => {
    const {read} = makeReads([hangs, answers]);
    const startedAt = performance.now();
    expect(await read()).to.eql(ANSWER);
    expect(performance.now() - startedAt).to.be.lessThan(TIMEOUT_MS * 0.7);
  });
  it('a replica that is slow may still be the first to answer', async () => {
    const slow: Replica = async () => {
      await pause(systemClock, 600);
      return {answer: ANSWER, index: 7};
    };
    const {read} = makeReads([slow, hangs]);
    expect(await read()).to.eql(ANSWER);
  });
  it('without an answer the read ends by its deadline', async () => {
    const {read} = makeReads([fails, hangs]);
    const startedAt = performance.now();
    expect(await read()).to.equal(undefined);
    expect(performance.now() - startedAt).to.be.lessThan(TIMEOUT_MS + 100);
  });
});
