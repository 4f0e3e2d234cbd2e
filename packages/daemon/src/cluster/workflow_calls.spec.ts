import bunyan from 'bunyan';
import {expect} from 'chai';
import {Registry} from 'prom-client';
import {GatewayTask} from '@primrosewick/coordination';
import type {LinkWelcome} from '@primrosewick/protocol';
import type {VmId, ZoneId} from '@primrosewick/state';
import {systemClock, type LinkCaller} from '@primrosewick/transport';
import {ReadLog, type ObservedRead} from './read_log.js';
import {WorkflowCalls} from './workflow_calls.js';

const [LEADER, COPY] = ['leader', 'copy'] as VmId[] as [VmId, VmId];
const ZONE = 'z' as ZoneId;
const logger = bunyan.createLogger({name: 'spec', level: 'fatal' as never});
const get = {kind: 'get' as const, host: 'h', path: '/q/a'};

/** Keeps the questions that were noted. */
class RecordingLog extends ReadLog {
  readonly seen: ObservedRead[] = [];

  override note(read: ObservedRead): void {
    this.seen.push(read);
    super.note(read);
  }
}

/** Calls of an entry beside a leader at an index and a copy at another. */
const makeCalls = async (
  leaderIndex: number,
  copy: () => Promise<number>,
  isLed = true,
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
    call: async (to: VmId, method: string) => {
      if (method === 'hello') return welcome(to, isLed && to === LEADER);
      if (method === 'readWorkflow')
        return {answer: {kind: 'state', state: 'running'}, index: await copy()};
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
  const calls = new WorkflowCalls({
    gateway,
    peers,
    clock: systemClock,
    logger,
    reader: null,
    reads,
  });
  return Object.assign(calls, {seen: reads.seen});
};
const stateOf = async (calls: WorkflowCalls): Promise<string> => {
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
    const calls = await makeCalls(50, async () => 3, false);
    expect(await stateOf(calls)).to.equal('done');
  });
  it('the leader answers where a copy does not', async () => {
    const calls = await makeCalls(50, () => Promise.reject(new Error('gone')));
    expect(await stateOf(calls)).to.equal('done');
  });
  it('each question is noted with the way that it was answered', async () => {
    const wayOf = async (
      copy: () => Promise<number>,
      isLed?: boolean,
    ): Promise<string> => {
      const calls = await makeCalls(50, copy, isLed);
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
