import bunyan from 'bunyan';
import {expect} from 'chai';
import {Registry} from 'prom-client';
import {GatewayTask} from '@primrosewick/coordination';
import type {LinkWelcome} from '@primrosewick/protocol';
import type {VmId, ZoneId} from '@primrosewick/state';
import {systemClock, type LinkCaller} from '@primrosewick/transport';
import {ReadLog, type CompletedRead} from './read_log.js';
import {WorkflowRequestRouter} from './workflow_request_router.js';

const [LEADER, COPY] = ['leader', 'copy'] as VmId[] as [VmId, VmId];
const ZONE = 'z' as ZoneId;
const logger = bunyan.createLogger({name: 'spec', level: 'fatal' as never});
const get = {kind: 'get' as const, host: 'h', path: '/q/a'};

/** Index of a replica, and the state that it reports. */
type ToldByCopy = number | {readonly index: number; readonly state: string};

/** A read log that keeps the recorded reads. */
class RecordingLog extends ReadLog {
  readonly seen: CompletedRead[] = [];

  override record(read: CompletedRead): void {
    this.seen.push(read);
    super.record(read);
  }
}

/** The request router of an entry node, with a leader at one index and a replica at another. */
const makeCalls = async (
  leaderIndex: number,
  copy: (atLeast: number) => Promise<ToldByCopy>,
  {isLed = true, askLeader = async (): Promise<void> => undefined} = {},
) => {
  const welcome = (vm: VmId, isServing: boolean): LinkWelcome => ({
    vm,
    zone: ZONE,
    node: null,
    hasState: true,
    mayFound: false,
    leader: LEADER,
    members: [LEADER, COPY],
    isServing,
    isReadable: true,
    index: isServing ? leaderIndex : 0,
  });
  const peers = {
    call: async (to: VmId, method: string, {atLeast = 0} = {}) => {
      if (method === 'hello') return welcome(to, isLed && to === LEADER);
      if (method === 'readWorkflow') {
        const told = await copy(atLeast);
        const {index, state} =
          typeof told === 'number' ? {index: told, state: 'running'} : told;
        return {answer: {kind: 'state', state}, index};
      }
      await askLeader();
      return {
        kind: 'ok',
        value: {kind: 'state', state: 'done'},
        index: leaderIndex,
      };
    },
  } as unknown as LinkCaller;
  const gateway = new GatewayTask({
    peers,
    clock: systemClock,
    seeds: [LEADER, COPY],
    hello: () => welcome('own' as VmId, false),
    zone: ZONE,
    onContact: () => undefined,
  });
  gateway.start();
  await new Promise(resolve => setTimeout(resolve, 20));
  gateway.stop();
  const reads = new RecordingLog(logger, new Registry());
  const calls = new WorkflowRequestRouter({
    gateway,
    peers,
    clock: systemClock,
    logger,
    reader: null,
    reads,
  });
  return Object.assign(calls, {seen: reads.seen});
};
const stateOf = async (calls: WorkflowRequestRouter): Promise<string> => {
  const reply = await calls.request(get, systemClock.now() + 1000);
  return reply.kind === 'state' ? reply.state : reply.kind;
};

describe('calls of clients', () => {
  it('a question is answered by a copy that is as far as the leader was', async () => {
    const calls = await makeCalls(50, async () => 50);
    expect(await stateOf(calls)).to.equal('running');
  });
  it('a copy that was suspended and does not know it is not shown', async () => {
    const calls = await makeCalls(50, async () => 49);
    expect(await stateOf(calls)).to.equal('done');
  });
  it('nothing older is shown than what was shown before', async () => {
    const indexes = [60, 55];
    const calls = await makeCalls(50, async () => indexes.shift() ?? 0);
    expect(await stateOf(calls)).to.equal('running');
    expect(await stateOf(calls)).to.equal('done');
  });
  it('an entry that no leader has told of its index shows no copy', async () => {
    const calls = await makeCalls(50, async () => 3, {isLed: false});
    expect(await stateOf(calls)).to.equal('done');
  });
  it('a question is answered at the end although the leader is late', async () => {
    const calls = await makeCalls(
      50,
      async () => ({index: 49, state: 'done'}),
      {
        askLeader: () => new Promise(() => undefined),
      },
    );
    const late = new Promise<string>(resolve =>
      setTimeout(() => resolve('no answer in time'), 300),
    );
    expect(await Promise.race([stateOf(calls), late])).to.equal('done');
  });
  it('a copy that is a moment behind is waited for, and the leader is spared', async () => {
    let asked = 0;
    const calls = await makeCalls(50, async atLeast => Math.max(45, atLeast), {
      askLeader: async () => void asked++,
    });
    expect(await stateOf(calls)).to.equal('running');
    expect(asked).to.equal(0);
  });
  it('the leader answers where a copy does not', async () => {
    const calls = await makeCalls(50, () => Promise.reject(new Error('gone')));
    expect(await stateOf(calls)).to.equal('done');
  });
  it('each question is noted with the way that it was answered', async () => {
    const wayOf = async (
      copy: () => Promise<number>,
      isLed = true,
    ): Promise<string> => {
      const calls = await makeCalls(50, copy, {isLed});
      await stateOf(calls);
      return calls.seen.map(({way, path}) => `${way} ${path}`).join();
    };
    expect(await wayOf(async () => 50)).to.equal('copy /q/a');
    expect(await wayOf(async () => 49)).to.equal('copy_behind /q/a');
    expect(await wayOf(() => Promise.reject(new Error('gone')))).to.equal(
      'copy_failed /q/a',
    );
    expect(await wayOf(async () => 50, false)).to.equal('no_contact /q/a');
  });
  it('a question about what was cancelled here is noted as such', async () => {
    const calls = await makeCalls(50, async () => 50);
    await calls.request({...get, kind: 'cancel'}, systemClock.now() + 1000);
    await stateOf(calls);
    expect(calls.seen.map(({way}) => way)).to.eql(['cancelled_here']);
  });
  it('a question that nobody answered is noted with its error', async () => {
    const calls = await makeCalls(50, () => Promise.reject(new Error('gone')));
    const err = await calls
      .request(get, systemClock.now() - 1)
      .catch((thrown: {code: string}) => thrown);
    expect(err).to.include({code: 'log_unavailable'});
    expect(calls.seen[0]).to.include({way: 'copy_failed', err});
  });
});
