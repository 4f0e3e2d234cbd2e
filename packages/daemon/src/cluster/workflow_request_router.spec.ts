import bunyan from 'bunyan';
import {expect} from 'chai';
import {Registry} from 'prom-client';
import {GatewayTask} from '@primrosewick/coordination';
import type {LinkHelloReply, WorkflowReply} from '@primrosewick/protocol';
import {
  CellError,
  type VmId,
  type WorkflowSpec,
  type ZoneId,
} from '@primrosewick/state';
import {pause, systemClock, type LinkCaller} from '@primrosewick/transport';
import {ConfirmedReads} from './confirmed_reads.js';
import {ReadLog, type CompletedRead} from './read_log.js';
import {WorkflowRequestRouter} from './workflow_request_router.js';

const [LEADER, REPLICA] = ['leader', 'copy'] as VmId[] as [VmId, VmId];
const ZONE = 'z' as ZoneId;
const logger = bunyan.createLogger({name: 'spec', level: 'fatal' as never});
const get = {kind: 'get' as const, host: 'h', path: '/q/a'};

/** Index of a replica, and the state that it reports. */
type ReplicaReport = number | {readonly index: number; readonly state: string};

/** A read log that keeps the recorded reads. */
class RecordingLog extends ReadLog {
  readonly seen: CompletedRead[] = [];

  override record(read: CompletedRead): void {
    this.seen.push(read);
    super.record(read);
  }
}

/** How a replica confirms its answer with the leader. */
type Confirm = (peer: VmId, timeoutMs: number) => Promise<WorkflowReply>;

const noConfirmation: Confirm = async peer => {
  throw new CellError({code: 'log_unavailable', step: 'read', peer});
};
const confirmTooLate: Confirm = async (peer, timeoutMs) => {
  await pause(systemClock, timeoutMs);
  return noConfirmation(peer, 0);
};
/** Fails after the deadline of any read here, as a call to a silent leader does. */
const answerTooLate = async (): Promise<never> => {
  await pause(systemClock, 1200);
  throw new CellError({code: 'peer_timeout', step: 'call'});
};

/** The request router of an entry node, with a leader at one index and a replica at another. */
const makeRouter = async (
  leaderIndex: number,
  copy: (atLeast: number) => Promise<ReplicaReport>,
  {
    isLed = true,
    askLeader = async (): Promise<void> => undefined,
    confirm = noConfirmation,
    readPending = async (): Promise<void> => undefined,
  } = {},
) => {
  const helloReply = (vm: VmId, isServing: boolean): LinkHelloReply => ({
    vm,
    zone: ZONE,
    node: null,
    hasState: true,
    mayFound: false,
    leader: LEADER,
    members: [LEADER, REPLICA],
    isServing,
    isReadable: true,
    index: isServing ? leaderIndex : 0,
  });
  const peers = {
    call: async (
      to: VmId,
      method: string,
      {atLeast = 0, timeoutMs = 0} = {},
    ) => {
      if (method === 'hello') return helloReply(to, isLed && to === LEADER);
      if (method === 'readWorkflow') {
        const report = await copy(atLeast);
        const {index, state} =
          typeof report === 'number'
            ? {index: report, state: 'running'}
            : report;
        return {answer: {kind: 'state', state}, index};
      }
      if (method === 'readConfirmed')
        return {answer: await confirm(to, timeoutMs), index: 60};
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
    seeds: [LEADER, REPLICA],
    hello: () => helloReply('own' as VmId, false),
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
    confirmed: new ConfirmedReads({
      gateway,
      peers,
      clock: systemClock,
      own: null,
    }),
    reads,
    stalls: {readPending},
  });
  return Object.assign(calls, {seen: reads.seen});
};
const stateOf = async (calls: WorkflowRequestRouter): Promise<string> => {
  const reply = await calls.request(get, {
    deadline: systemClock.now() + 1000,
  });
  return reply.kind === 'state' ? reply.state : reply.kind;
};

describe('workflow request router', () => {
  it('a read is answered by a replica at the index that the leader reported', async () => {
    const calls = await makeRouter(50, async () => 50);
    expect(await stateOf(calls)).to.equal('running');
  });
  it('a replica that was suspended and is below the index that the leader reported does not answer', async () => {
    const calls = await makeRouter(50, async () => 49);
    expect(await stateOf(calls)).to.equal('done');
  });
  it('a replica below the index of an earlier answer does not answer', async () => {
    const indexes = [60, 55];
    const calls = await makeRouter(50, async () => indexes.shift() ?? 0);
    expect(await stateOf(calls)).to.equal('running');
    expect(await stateOf(calls)).to.equal('done');
  });
  it('without contact to a serving leader no replica answers', async () => {
    const calls = await makeRouter(50, async () => 3, {isLed: false});
    expect(await stateOf(calls)).to.equal('done');
  });
  it('the state of an ended workflow is answered by a lagging replica while the leader hangs', async () => {
    const calls = await makeRouter(
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
  it('a read waits for a replica that is slightly behind, without asking the leader', async () => {
    let asked = 0;
    const calls = await makeRouter(50, async atLeast => Math.max(45, atLeast), {
      askLeader: async () => void asked++,
    });
    expect(await stateOf(calls)).to.equal('running');
    expect(asked).to.equal(0);
  });
  it('the leader answers if the replica fails', async () => {
    const calls = await makeRouter(50, () => Promise.reject(new Error('gone')));
    expect(await stateOf(calls)).to.equal('done');
  });
  it('each read is recorded with how it was answered', async () => {
    const wayOf = async (
      copy: () => Promise<number>,
      isLed = true,
    ): Promise<string> => {
      const calls = await makeRouter(50, copy, {isLed});
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
  it('a read of a workflow cancelled here is recorded as cancelled_here', async () => {
    const calls = await makeRouter(50, async () => 50);
    await calls.request(
      {...get, kind: 'cancel'},
      {deadline: systemClock.now() + 1000},
    );
    await stateOf(calls);
    expect(calls.seen.map(({way}) => way)).to.eql(['cancelled_here']);
  });
  it('a stale replica confirms its answer while the leader hangs', async () => {
    const calls = await makeRouter(50, async () => 49, {
      askLeader: answerTooLate,
      confirm: async () => ({kind: 'state', state: 'queued'}),
    });
    expect(await stateOf(calls)).to.equal('queued');
    expect(calls.seen[0]).to.include({way: 'copy_behind', isConfirmed: true});
  });
  it('a workflow that no replica knows is told as unknown while the leader hangs', async () => {
    const calls = await makeRouter(50, async () => 49, {
      askLeader: answerTooLate,
      confirm: async () => ({kind: 'unknown_workflow'}),
    });
    expect(await stateOf(calls)).to.equal('unknown_workflow');
  });
  it('a replica confirms its answer while the entry has no contact to the leader', async () => {
    const calls = await makeRouter(50, async () => 50, {
      isLed: false,
      askLeader: answerTooLate,
      confirm: async () => ({kind: 'state', state: 'running'}),
    });
    expect(await stateOf(calls)).to.equal('running');
  });
  it('the leader is asked in time where no replica confirms', async () => {
    const calls = await makeRouter(50, async () => 49, {
      confirm: confirmTooLate,
    });
    const startedAt = performance.now();
    expect(await stateOf(calls)).to.equal('done');
    expect(performance.now() - startedAt).to.be.lessThan(1000);
  });
  it('a read that nobody answered is recorded with its error', async () => {
    const calls = await makeRouter(50, () => Promise.reject(new Error('gone')));
    const err = await calls
      .request(get, {deadline: systemClock.now() - 1})
      .catch((thrown: {code: string}) => thrown);
    expect(err).to.include({code: 'log_unavailable'});
    expect(calls.seen[0]).to.include({way: 'copy_failed', err});
  });
  // Guards against a job that is handed on by a VM that stood still while its client left.
  it('a submission whose client has closed its connection meanwhile is not handed on', async () => {
    const controller = new AbortController();
    const readPending = async (): Promise<void> => controller.abort();
    const calls = await makeRouter(50, async () => 50, {readPending});
    const spec = {} as WorkflowSpec;
    const {signal} = controller;
    const err = await calls
      .request(
        {kind: 'submit', host: 'h', path: '/q/a', spec},
        {deadline: systemClock.now() + 1000, signal},
      )
      .catch((thrown: CellError) => thrown);
    expect(err).to.include({code: 'client_gone', outcome: 'not_run'});
  });
});
