import bunyan from 'bunyan';
import {expect} from 'chai';
import {Registry} from 'prom-client';
import {
  GatewayTask,
  ReplicaReader,
  WorkflowReplica,
} from '@primrosewick/coordination';
import type {LinkWelcome} from '@primrosewick/protocol';
import {CellError, type VmId, type ZoneId} from '@primrosewick/state';
import {
  TestLog,
  testSpec,
  testStep,
  testTask,
} from '@primrosewick/state/fixtures';
import {pause, systemClock, type LinkCaller} from '@primrosewick/transport';
import {ReadLog} from './read_log.js';
import {WorkflowRequestRouter} from './workflow_request_router.js';

const [LEADER, CUT, LEVEL] = ['leader', 'cut', 'level'] as VmId[] as [
  VmId,
  VmId,
  VmId,
];
const ZONE = 'z' as ZoneId;
const logger = bunyan.createLogger({name: 'spec', level: 'fatal' as never});

/** A leader at index 50, a replica that stays at 10, and one that is up to date. */
const makeCalls = async (reader: ReplicaReader | null = null) => {
  const asked: VmId[] = [];
  const welcome = (vm: VmId): LinkWelcome => ({
    vm,
    zone: ZONE,
    node: null,
    hasState: true,
    mayFound: false,
    leader: LEADER,
    members: [CUT, LEADER, LEVEL],
    isServing: vm === LEADER,
    isReadable: true,
    index: vm === CUT ? 10 : 50,
  });
  const peers = {
    call: async (
      to: VmId,
      method: string,
      _request: unknown,
      {timeoutMs = 300} = {},
    ) => {
      if (method === 'hello') return welcome(to);
      asked.push(to);
      if (method !== 'readWorkflow')
        return {kind: 'ok', value: {kind: 'unknown_queue'}, index: 50};
      if (to === LEVEL)
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
    seeds: [CUT, LEADER, LEVEL],
    hello: () => welcome('own' as VmId),
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
    reads: new ReadLog(logger, new Registry()),
  });
  return {calls, asked};
};

/** A VM's own replica with one workflow, which has ended if `isEnded`, and its queue. */
const makeCopy = (ageMs: () => number, isEnded: boolean) => {
  const log = new TestLog();
  log.addWorker('w1');
  log.submit('a', testSpec([testStep()]));
  log.start('w1', testTask('a', 0, 0));
  if (isEnded) log.end('w1', testTask('a', 0, 0), 'done');
  const replica = new WorkflowReplica();
  replica.restore(log.db.toImage());
  replica.enableReads();
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

describe('calls of clients beside several copies', () => {
  it('a question whose copy hangs is answered by its deadline', async () => {
    const {calls} = await makeCalls();
    const get = {kind: 'get' as const, host: 'h', path: '/q/a'};
    const beganAt = systemClock.now();
    await calls.request(get, beganAt + 50).catch(() => undefined);
    expect(systemClock.now() - beganAt).to.be.lessThan(100);
  });
  it('a copy that stays behind is passed over for one that is level', async () => {
    const {calls, asked} = await makeCalls();
    const get = {kind: 'get' as const, host: 'h', path: '/q/a'};
    for (let i = 0; i < 3; i++)
      await calls.request(get, systemClock.now() + 1000);
    expect(asked.filter(vm => vm === LEADER).length).to.be.lessThan(2);
  });
  it('an old own copy tells no end in a queue that the leader may have dropped', async () => {
    const {reader, get} = makeCopy(() => 60_000, true);
    const {calls} = await makeCalls(reader);
    await pause(systemClock, 700);
    const reply = await calls.request(get, systemClock.now() + 1000);
    expect(reply.kind).to.equal('unknown_queue');
  });
  it('a question waits for the own copy too, and the leader is spared', async () => {
    const lateUntil = systemClock.now() + 100;
    const ageMs = (): number => (systemClock.now() < lateUntil ? 300 : 0);
    const {reader, get} = makeCopy(ageMs, false);
    const {calls, asked} = await makeCalls(reader);
    await calls.request(get, systemClock.now() + 1000);
    expect(asked).to.eql([]);
  });
});
