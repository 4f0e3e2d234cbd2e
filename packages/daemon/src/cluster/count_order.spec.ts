import bunyan from 'bunyan';
import {expect} from 'chai';
import fc from 'fast-check';
import {Registry} from 'prom-client';
import {GatewayTask} from '@primrosewick/coordination';
import type {LinkHelloReply, WorkflowReply} from '@primrosewick/protocol';
import {CellError, type VmId, type ZoneId} from '@primrosewick/state';
import {pause, systemClock, type LinkCaller} from '@primrosewick/transport';
import {ConfirmedReads} from './confirmed_reads.js';
import {CountOrder} from './count_order.js';
import {ReadLog} from './read_log.js';
import {WorkflowRequestRouter} from './workflow_request_router.js';

const [LEADER, REPLICA] = ['leader', 'copy'] as VmId[] as [VmId, VmId];
const ZONE = 'z' as ZoneId;
const HOST = 'h';
/** Prefix of a queue that only the newer bundle has, and of one that it has no more. */
const [ADDED, DROPPED] = ['/added/', '/dropped/'];
/** The older and the newer bundle. */
const [OLDER, NEWER] = [31, 33];
const OLDER_COUNT: WorkflowReply = {kind: 'pending', count: 0, version: OLDER};
const NEWER_COUNT: WorkflowReply = {kind: 'pending', count: 0, version: NEWER};
const NEWER_UNKNOWN: WorkflowReply = {kind: 'unknown_queue', version: NEWER};

/** What the replica answers at once, and after it has confirmed that with the leader. */
interface Replica {
  readonly read: (path: string) => Promise<WorkflowReply | null>;
  readonly confirm: (path: string) => Promise<WorkflowReply>;
}

const logger = bunyan.createLogger({name: 'spec', level: 'fatal' as never});

/** An entry that reads one replica, which has applied all that the leader told the entry. */
const makeEntry = async (replica: Replica) => {
  const helloReply = (vm: VmId): LinkHelloReply => ({
    vm,
    zone: ZONE,
    node: null,
    hasState: true,
    mayFound: false,
    leader: LEADER,
    members: [LEADER, REPLICA],
    isServing: vm === LEADER,
    isReadable: vm === REPLICA,
    index: 50,
  });
  const asked: string[] = [];
  const peers = {
    call: async (to: VmId, method: string, {path = ''} = {}) => {
      if (method === 'hello') return helloReply(to);
      asked.push(`${method} ${path}`);
      if (method === 'readWorkflow')
        return {answer: await replica.read(path), index: 50};
      if (method === 'readConfirmed')
        return {answer: await replica.confirm(path), index: 60};
      throw new CellError({code: 'log_unavailable', step: method, peer: to});
    },
  } as unknown as LinkCaller;
  const gateway = new GatewayTask({
    peers,
    clock: systemClock,
    seeds: [LEADER, REPLICA],
    hello: () => helloReply('own' as VmId),
    zone: ZONE,
    onContact: () => undefined,
  });
  gateway.start();
  await pause(systemClock, 20);
  gateway.stop();
  const confirmed = new ConfirmedReads({
    gateway,
    peers,
    clock: systemClock,
    own: null,
  });
  const router = new WorkflowRequestRouter({
    gateway,
    peers,
    clock: systemClock,
    logger,
    reader: null,
    confirmed,
    reads: new ReadLog(logger, new Registry()),
    stalls: {readPending: async () => undefined},
  });
  const count = (path: string, leftMs = 1000): Promise<WorkflowReply> =>
    router.request(
      {kind: 'get', host: HOST, path},
      {deadline: systemClock.now() + leftMs},
    );
  return {count, asked};
};

/** A replica that has the older bundle until it has asked the leader, which takes 300 ms. */
const laggingReplica = (): Replica => ({
  read: async path => (path === ADDED ? null : OLDER_COUNT),
  confirm: async path => {
    if (path === ADDED) await pause(systemClock, 300);
    return path === ADDED ? NEWER_COUNT : NEWER_UNKNOWN;
  },
});

/** A count: how far its replica is behind, how slow it is, and whether the bundle changes then. */
const STEP = fc.record({
  lag: fc.nat(3),
  slow: fc.nat(12),
  slowAgain: fc.nat(6),
  isChanged: fc.boolean(),
});
const countOf = (version: number): WorkflowReply => ({
  kind: 'pending',
  count: 0,
  version,
});
const nextTurn = (): Promise<void> =>
  new Promise(resolve => setImmediate(resolve));

describe('order of counts', () => {
  // Guards against CONFIG: a count that was sent 0.3 s after one that showed
  // configuration 33 was answered by 31, as it was answered first.
  it('a count is not answered by an older bundle than one that was sent before it', async () => {
    const {count} = await makeEntry(laggingReplica());
    const first = count(ADDED);
    await pause(systemClock, 50);
    const second = count(DROPPED);
    expect(await first).to.eql(NEWER_COUNT);
    expect(await second).to.eql(NEWER_UNKNOWN);
  });
  // Guards against a key that counts as revoked and, a moment later, as good again.
  it('a count is not answered by an older bundle than one that refused a key before it', async () => {
    const refused: WorkflowReply = {kind: 'unauthenticated', version: NEWER};
    const {count} = await makeEntry({
      ...laggingReplica(),
      confirm: async () => refused,
    });
    expect(await count(ADDED)).to.eql(refused);
    expect(await count(DROPPED)).to.eql(refused);
  });
  it('a count waits for those before it, and is read once if none of them was newer', async () => {
    const {count, asked} = await makeEntry({
      ...laggingReplica(),
      confirm: async () => {
        await pause(systemClock, 200);
        return OLDER_COUNT;
      },
    });
    const ended: string[] = [];
    const first = count(ADDED).then(() => ended.push(ADDED));
    const second = count(DROPPED).then(() => ended.push(DROPPED));
    await Promise.all([first, second]);
    expect(ended).to.eql([ADDED, DROPPED]);
    expect(asked.filter(call => call.endsWith(DROPPED))).to.eql([
      `readWorkflow ${DROPPED}`,
    ]);
  });
  it('a count after one that failed is answered', async () => {
    const {count} = await makeEntry({
      ...laggingReplica(),
      confirm: () => Promise.reject(new Error('gone')),
    });
    const first = count(ADDED, 300).catch(({code}: CellError) => code);
    expect(await count(DROPPED)).to.eql(OLDER_COUNT);
    expect(await first).to.equal('log_unavailable');
  });
  it('a count whose time ends before that of an earlier one is refused', async () => {
    const {count} = await makeEntry(laggingReplica());
    const beganAt = systemClock.now();
    const first = count(ADDED);
    const refusal = await count(DROPPED, 100).catch(
      ({code}: CellError) => code,
    );
    expect(refusal).to.equal('log_unavailable');
    expect(systemClock.now() - beganAt).to.be.within(95, 200);
    expect(await count(DROPPED)).to.eql(NEWER_UNKNOWN);
    await first;
  });
  it('the state of a workflow does not wait for a count', async () => {
    const state: WorkflowReply = {kind: 'state', state: 'queued'};
    const {count} = await makeEntry({
      ...laggingReplica(),
      read: async path => (path === ADDED ? null : state),
    });
    const beganAt = systemClock.now();
    const first = count(ADDED);
    expect(await count('/dropped/a')).to.eql(state);
    expect(systemClock.now() - beganAt).to.be.lessThan(100);
    await first;
  });
  it('no count shows an older bundle than one before it, whatever replicas answer when', () =>
    fc.assert(
      fc.asyncProperty(fc.array(STEP, {maxLength: 30}), async steps => {
        let inForce = 1;
        let now = 0;
        const shown: number[] = [];
        const order = new CountOrder({
          clock: systemClock,
          onHeld: () => undefined,
        });
        const turns = async (count: number): Promise<void> => {
          for (const until = now + count; now < until;) await nextTurn();
        };
        const answers = steps.map(async (step, position) => {
          await turns(position);
          const {lag, slow, slowAgain} = step;
          const reply = await order.answer({
            read: async () => {
              await turns(slow);
              return countOf(Math.max(1, inForce - lag));
            },
            readCurrent: async () => {
              await turns(slowAgain);
              return countOf(inForce);
            },
            deadline: systemClock.now() + 10_000,
          });
          if (reply.kind === 'pending') shown[position] = reply.version ?? 0;
        });
        const all = Promise.all(answers);
        let isOver = false;
        void all.then(() => (isOver = true));
        while (!isOver) {
          if (steps[now % steps.length]?.isChanged) inForce++;
          now++;
          await nextTurn();
        }
        expect(shown).to.eql([...shown].sort((a, b) => a - b));
        expect(shown.length).to.equal(steps.length);
      }),
      {seed: 3701, numRuns: 300},
    ));
});
