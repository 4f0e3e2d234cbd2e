import bunyan from 'bunyan';
import {expect} from 'chai';
import {Registry} from 'prom-client';
import {
  GatewayTask,
  ReplicaReader,
  WorkflowReplica,
} from '@primrosewick/coordination';
import type {LinkHelloReply} from '@primrosewick/protocol';
import {CellError, type VmId, type ZoneId} from '@primrosewick/state';
import {
  TestLog,
  testSpec,
  testStep,
  testTask,
} from '@primrosewick/state/fixtures';
import {pause, systemClock, type LinkCaller} from '@primrosewick/transport';
import {ConfirmedReads} from './confirmed_reads.js';
import {ReadLog} from './read_log.js';
import {WorkflowRequestRouter} from './workflow_request_router.js';

const [LEADER, LAGGING, CURRENT] = ['leader', 'cut', 'level'] as VmId[] as [
  VmId,
  VmId,
  VmId,
];
const ZONE = 'z' as ZoneId;
const get = {kind: 'get' as const, host: 'h', path: '/q/a'};
const logger = bunyan.createLogger({name: 'spec', level: 'fatal' as never});

/** How long a replica may take, and wait for an end before that, in ms. */
interface BlockingQuery {
  readonly waitMs: number;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** A leader at index 50, a replica that stays at 10, and one that is up to date. */
const makeRouter = async (
  reader: ReplicaReader | null = null,
  readBlocking?: (query: BlockingQuery) => Promise<unknown>,
) => {
  const asked: VmId[] = [];
  const helloReply = (vm: VmId): LinkHelloReply => ({
    vm,
    zone: ZONE,
    node: null,
    hasState: true,
    mayFound: false,
    leader: LEADER,
    members: [LAGGING, LEADER, CURRENT],
    isServing: vm === LEADER,
    isReadable: true,
    index: vm === LAGGING ? 10 : 50,
  });
  const peers = {
    call: async (
      to: VmId,
      method: string,
      {waitMs = 0}: {readonly waitMs?: number},
      {timeoutMs = 300, signal = new AbortController().signal} = {},
    ) => {
      if (method === 'hello') return helloReply(to);
      asked.push(to);
      if (method === 'readConfirmed')
        throw new CellError({code: 'peer_timeout', step: method, peer: to});
      if (method !== 'readWorkflow')
        return {kind: 'ok', value: {kind: 'unknown_queue'}, index: 50};
      if (readBlocking) return readBlocking({waitMs, timeoutMs, signal});
      if (to === CURRENT)
        return {answer: {kind: 'state', state: 'running'}, index: 50};
      await pause(systemClock, Math.min(150, timeoutMs));
      if (timeoutMs < 150)
        throw new CellError({code: 'peer_timeout', step: method, peer: to});
      return {answer: null, index: 10};
    },
  } as unknown as LinkCaller;
  const gateway = new GatewayTask({
    peers,
    clock: systemClock,
    seeds: [LAGGING, LEADER, CURRENT],
    hello: () => helloReply('own' as VmId),
    zone: ZONE,
    onContact: () => undefined,
  });
  gateway.start();
  await pause(systemClock, 20);
  gateway.stop();
  const calls = new WorkflowRequestRouter({
    gateway,
    peers,
    clock: systemClock,
    logger,
    reader,
    confirmed: new ConfirmedReads({
      gateway,
      peers,
      clock: systemClock,
      own: null,
    }),
    reads: new ReadLog(logger, new Registry()),
    stalls: {readPending: async () => undefined},
  });
  return {calls, asked};
};

/** A VM's own replica with one workflow, which has ended if `isEnded`, and its queue. */
const makeOwnReplica = (ageMs: () => number, isEnded: boolean) => {
  const log = new TestLog();
  log.addWorker('w1');
  log.submit('a', testSpec([testStep()]));
  log.start('w1', testTask('a', 0, 0));
  if (isEnded) log.end('w1', testTask('a', 0, 0), 'done');
  const replica = new WorkflowReplica();
  replica.restore(log.db.toImage());
  replica.open();
  const [queue] = log.db.bundle!.queues;
  const get = {
    kind: 'get' as const,
    host: queue!.host,
    path: `${queue!.prefix}a`,
  };
  return {
    get,
    reader: new ReplicaReader({replica, clock: systemClock, ageMs}),
  };
};

/** A router whose replica waits for an end as long as it is asked to. */
const makeBlockingRouter = async (isSilent = false) => {
  const waits: number[] = [];
  const router = await makeRouter(null, async ({waitMs, signal, timeoutMs}) => {
    waits.push(waitMs);
    const released = new Promise<void>(resolve =>
      signal.addEventListener('abort', () => resolve()),
    );
    await Promise.race([
      released,
      pause(systemClock, isSilent ? timeoutMs : waitMs),
    ]);
    if (isSilent) throw new CellError({code: 'peer_timeout', step: 'read'});
    return {answer: {kind: 'state', state: 'running'}, index: 50};
  });
  return {...router, waits};
};

describe('workflow request router with several replicas', () => {
  it('a read from a replica that hangs ends by its deadline', async () => {
    const {calls} = await makeRouter();
    const beganAt = systemClock.now();
    await calls.request(get, {deadline: beganAt + 50}).catch(() => undefined);
    expect(systemClock.now() - beganAt).to.be.lessThan(100);
  });
  it('a replica that stays behind is avoided in favour of one that is up to date', async () => {
    const {calls, asked} = await makeRouter();
    for (let i = 0; i < 3; i++)
      await calls.request(get, {deadline: systemClock.now() + 1000});
    expect(asked.filter(vm => vm === LEADER).length).to.be.lessThan(2);
  });
  it('an own replica that is 60 s old does not answer for an ended workflow, as its queue may be gone', async () => {
    const {reader, get} = makeOwnReplica(() => 60_000, true);
    const {calls} = await makeRouter(reader);
    await pause(systemClock, 700);
    const reply = await calls.request(get, {
      deadline: systemClock.now() + 1000,
    });
    expect(reply.kind).to.equal('unknown_queue');
  });
  it('a read waits for the own replica, without asking the leader', async () => {
    const lateUntil = systemClock.now() + 100;
    const ageMs = (): number => (systemClock.now() < lateUntil ? 300 : 0);
    const {reader, get} = makeOwnReplica(ageMs, false);
    const {calls, asked} = await makeRouter(reader);
    await calls.request(get, {deadline: systemClock.now() + 1000});
    expect(asked).to.eql([]);
  });
  it('a replica may wait for an end, well within the time of the caller', async () => {
    const {calls, waits} = await makeBlockingRouter();
    for (const leftMs of [2400, 1000, 300])
      await calls.request(get, {deadline: systemClock.now() + leftMs});
    expect(waits[0]).to.equal(500);
    expect(waits[1]).to.be.within(150, 200);
    expect(waits[2]).to.equal(0);
  });
  it('a replica that falls silent while it may wait leaves time to ask the leader', async () => {
    const {calls, asked} = await makeBlockingRouter(true);
    const deadline = systemClock.now() + 2400;
    const reply = await calls.request(get, {deadline});
    expect(reply.kind).to.equal('unknown_queue');
    expect(asked.at(-1)).to.equal(LEADER);
    expect(deadline - systemClock.now()).to.be.greaterThan(500);
  });
  // Guards against CONFIG: a count waited for the end of a workflow at a silent replica.
  it('a replica that falls silent holds a count up no longer than its answer may take', async () => {
    const {calls, waits} = await makeBlockingRouter(true);
    const beganAt = systemClock.now();
    const count = {...get, path: '/q/'};
    await calls.request(count, {deadline: beganAt + 2400});
    expect(waits).to.eql([0]);
    expect(systemClock.now() - beganAt).to.be.lessThan(500);
  });
  it('a client that goes frees its place at the replica', async () => {
    const {calls} = await makeBlockingRouter();
    const controller = new AbortController();
    const {signal} = controller;
    const beganAt = systemClock.now();
    const read = calls.request(get, {deadline: beganAt + 2400, signal});
    await pause(systemClock, 20);
    controller.abort();
    await read;
    expect(systemClock.now() - beganAt).to.be.lessThan(150);
  });
  it('an entry that drains lets no read wait', async () => {
    const {calls, waits} = await makeBlockingRouter();
    const beganAt = systemClock.now();
    const read = calls.request(get, {deadline: beganAt + 2400});
    await pause(systemClock, 20);
    calls.beginDrain();
    await read;
    await calls.request(get, {deadline: beganAt + 2400});
    expect(systemClock.now() - beganAt).to.be.lessThan(150);
    expect(waits).to.eql([500, 0]);
  });
});
