import bunyan from 'bunyan';
import {expect} from 'chai';
import {Registry} from 'prom-client';
import {
  ConfirmedReader,
  GatewayTask,
  ReplicaReader,
  WorkflowReplica,
  WorkflowService,
} from '@primrosewick/coordination';
import type {
  LinkHelloReply,
  WorkflowReply,
  WorkflowRequest,
} from '@primrosewick/protocol';
import {
  CellError,
  type Bundle,
  type VmId,
  type WorkflowCommand,
  type ZoneId,
} from '@primrosewick/state';
import {
  TestLog,
  testBundle,
  testKeyedCustomer,
  testDigest,
  testQueue,
  testSpec,
  testStep,
  testTask,
} from '@primrosewick/state/fixtures';
import {pause, systemClock, type LinkCaller} from '@primrosewick/transport';
import {AuthenticationLog} from './authentication_log.js';
import {answerConfirmed} from './confirmed_replica.js';
import {ConfirmedReads} from './confirmed_reads.js';
import {ReadLog} from './read_log.js';
import {answerRead, type ReplicaReaders} from './replica_readers.js';
import {WorkflowRequestRouter} from './workflow_request_router.js';

const [LEADER, NEAR, FAR] = ['leader', 'near', 'far'] as VmId[] as [
  VmId,
  VmId,
  VmId,
];
const [OWN_ZONE, OTHER_ZONE] = ['z1', 'z2'] as ZoneId[] as [ZoneId, ZoneId];
const ENDED = '/queue/a';
const QUEUE = '/queue/';
const OLD_KEYS = {customers: [testKeyedCustomer('acme', ['old'])]};
const NEW_KEYS = {
  version: 2,
  customers: [testKeyedCustomer('acme', ['new'])],
  source: '{"tenants":[{"apiKeys":["new"]}]}',
};
const unavailable = (): CellError =>
  new CellError({code: 'log_unavailable', step: 'spec'});

/** A leader, a replica in the zone of the entry, one elsewhere, and links that can be cut. */
class World {
  readonly lines: Array<Record<string, unknown>> = [];
  readonly registry = new Registry();
  readonly submitted: WorkflowCommand[] = [];
  /** VMs without links to the leader, and those without links to the entry. */
  readonly cutFromLeader = new Set<VmId>();
  readonly cutFromEntry = new Set<VmId>();
  /** VMs that hear of the leader and get no records, as after they were frozen. */
  readonly lagging = new Set<VmId>();
  private readonly replicas = new Map<VmId, WorkflowReplica>();
  private readonly readers = new Map<VmId, ReplicaReaders>();
  private readonly service: WorkflowService;
  private readonly logger: bunyan;
  private gateway!: GatewayTask;
  private router!: WorkflowRequestRouter;

  constructor(part: Partial<Bundle>) {
    const log = new TestLog(part);
    log.addWorker('w1');
    log.submit('a', testSpec([testStep()]));
    log.start('w1', testTask('a', 0, 0));
    log.end('w1', testTask('a', 0, 0), 'done');
    for (const vm of [LEADER, NEAR, FAR]) {
      const replica = new WorkflowReplica();
      replica.restore(log.db.toImage());
      replica.open();
      this.replicas.set(vm, replica);
      this.readers.set(vm, this.makeReaders(vm, replica));
    }
    const stream = {write: (line: never) => void this.lines.push(line)};
    this.logger = bunyan.createLogger({
      name: 'spec',
      streams: [{type: 'raw', level: 'trace', stream: stream as never}],
    });
    this.service = this.makeService();
  }

  /** Starts the entry; `own` is the replica that its VM has. */
  async start(own: VmId | null = null): Promise<this> {
    const {logger} = this;
    const peers = {
      call: (to: VmId, method: string, body: never) =>
        this.answer(to, method, body),
    } as unknown as LinkCaller;
    this.gateway = new GatewayTask({
      peers,
      clock: systemClock,
      seeds: [NEAR, LEADER, FAR],
      hello: () => this.hello('entry' as VmId),
      zone: OWN_ZONE,
      onContact: () => undefined,
    });
    const readers = own && this.readers.get(own);
    const confirmed = new ConfirmedReads({
      gateway: this.gateway,
      peers,
      clock: systemClock,
      own: readers?.confirmed ?? null,
    });
    this.router = new WorkflowRequestRouter({
      gateway: this.gateway,
      peers,
      clock: systemClock,
      logger,
      reader: readers?.reader ?? null,
      confirmed,
      reads: new ReadLog(logger, this.registry),
      stalls: {readPending: async () => undefined},
    });
    this.gateway.start();
    await pause(systemClock, 20);
    return this;
  }

  stop(): void {
    this.gateway.stop();
  }

  putBundle(part: Partial<Bundle>): Promise<unknown> {
    return this.service.putBundle({bundle: testBundle(part)});
  }

  /** Calls with a key; returns the state, the kind of the reply, or the code of the error. */
  async call(
    key: string | undefined,
    request: Partial<WorkflowRequest> = {},
  ): Promise<string> {
    const sent = {
      kind: 'get',
      host: 'host',
      path: ENDED,
      ...(key !== undefined && {credential: testDigest(key)}),
      ...request,
    } as WorkflowRequest;
    const deadline = systemClock.now() + 700;
    const {logger, registry} = this;
    this.watcher ??= new AuthenticationLog({
      clock: systemClock,
      logger,
      registry,
    });
    return this.watcher.watch(sent, this.router.request(sent, {deadline})).then(
      (reply: WorkflowReply) =>
        reply.kind === 'state' ? reply.state : reply.kind,
      ({code}: CellError) => code,
    );
  }
  private watcher: AuthenticationLog | undefined;

  private async answer(to: VmId, method: string, body: never) {
    if (this.cutFromEntry.has(to)) throw unavailable();
    const readers = this.readers.get(to)!;
    switch (method) {
      case 'hello':
        return this.hello(to);
      case 'readWorkflow':
        return answerRead(readers, body, new AbortController().signal);
      case 'readConfirmed':
        return answerConfirmed(readers, body, systemClock);
      case 'workflow':
        if (to === LEADER) return this.service.handle(body);
        return {kind: 'not_leader', leader: LEADER};
      default:
        throw unavailable();
    }
  }

  private hello(vm: VmId): LinkHelloReply {
    return {
      vm,
      zone: vm === NEAR ? OWN_ZONE : OTHER_ZONE,
      node: null,
      hasState: true,
      mayFound: false,
      leader: this.cutFromLeader.has(vm) ? null : LEADER,
      members: [LEADER, NEAR, FAR],
      isServing: vm === LEADER,
      isReadable: true,
      index: this.replicas.get(vm)?.index ?? 0,
    };
  }

  private makeReaders(vm: VmId, replica: WorkflowReplica): ReplicaReaders {
    const ageMs = (): number => (this.cutFromLeader.has(vm) ? 60_000 : 0);
    const catchUp = {
      reach: async () => {
        if (this.cutFromLeader.has(vm) || this.lagging.has(vm))
          throw unavailable();
      },
    };
    return {
      reader: new ReplicaReader({replica, clock: systemClock, ageMs}),
      confirmed: new ConfirmedReader({replica, catchUp}),
      blocking: undefined as never,
    };
  }

  private makeService(): WorkflowService {
    const replica = this.replicas.get(LEADER)!;
    return new WorkflowService({
      replica,
      log: {
        isLeading: true,
        leaderVm: LEADER,
        propose: async command => {
          this.submitted.push(command);
          const index = replica.index + 1;
          for (const [vm, copy] of this.replicas)
            if (!this.cutFromLeader.has(vm) && !this.lagging.has(vm))
              copy.apply({index, command});
          return {kind: 'applied'};
        },
        readIndex: async () => {
          if (this.cutFromLeader.has(LEADER)) throw unavailable();
          return replica.index;
        },
      } satisfies ConstructorParameters<typeof WorkflowService>[0]['log'],
      clock: systemClock,
      logger: this.logger,
      load: {decide: () => ({kind: 'take'})},
      onAnnouncement: () => undefined,
    });
  }
}

describe('authentication across VMs', () => {
  let world: World;
  afterEach(() => world.stop());

  it('a call is served by the nearby replica for a known key only', async () => {
    world = await new World(OLD_KEYS).start();
    expect(await world.call('old')).to.equal('done');
    expect(await world.call('new')).to.equal('unauthenticated');
    expect(await world.call(undefined)).to.equal('unauthenticated');
    const text = await world.registry.metrics();
    expect(text).to.contain('unauthenticated_total{cause="missing"} 1');
    expect(text).to.contain('unauthenticated_total{cause="unknown"} 1');
  });
  // Guards against keys that live on in the bundle of a VM that was cut off.
  it('a replica that was cut off serves no revoked key, and refuses no new one', async () => {
    world = await new World(OLD_KEYS).start();
    world.cutFromLeader.add(NEAR);
    await world.putBundle(NEW_KEYS);
    for (const path of [ENDED, QUEUE]) {
      expect(await world.call('old', {path})).to.equal('unauthenticated');
      const served = path === ENDED ? 'done' : 'pending';
      expect(await world.call('new', {path})).to.equal(served);
    }
  });
  it('a replica that hears of the leader before it has caught up serves no revoked key', async () => {
    for (const own of [null, NEAR]) {
      world = await new World(OLD_KEYS).start(own);
      world.lagging.add(NEAR);
      await world.putBundle(NEW_KEYS);
      // The entry hears of the leader's index with its next question to it.
      expect(await world.call('new')).to.equal('done');
      expect(await world.call('old')).to.equal('unauthenticated');
      world.stop();
    }
  });
  it('an entry that reaches only a replica that was cut off serves nobody, and says so without a 401', async () => {
    for (const own of [null, NEAR]) {
      world = await new World(OLD_KEYS).start(own);
      world.cutFromLeader.add(NEAR).add(LEADER).add(FAR);
      world.cutFromEntry.add(LEADER).add(FAR);
      for (const key of ['old', 'new'])
        expect(await world.call(key)).to.equal('log_unavailable');
      const text = await world.registry.metrics();
      expect(text).to.contain('primrosewick_unchecked_keys_total 2');
      world.stop();
    }
  });
  it('a leader that is not sure that it leads neither refuses a key nor acknowledges an earlier submission', async () => {
    world = await new World(OLD_KEYS).start();
    const again = {kind: 'submit', spec: testSpec([testStep()])} as const;
    expect(await world.call('old', again)).to.equal('accepted');
    world.cutFromLeader.add(LEADER);
    for (const key of ['old', 'new'])
      expect(await world.call(key, again)).to.equal('log_unavailable');
  });
  it('a bundle that removes all customers lets no key in, and one that ends authentication all calls', async () => {
    world = await new World(OLD_KEYS).start();
    await world.putBundle({version: 2, customers: []});
    expect(await world.call('old')).to.equal('unauthenticated');
    await world.putBundle({version: 3});
    expect(await world.call('old')).to.equal('done');
    expect(await world.call(undefined)).to.equal('done');
  });
  it('a replica that was cut off serves no call without a key to a queue that is public no more', async () => {
    const queues = [testQueue({isPublic: true})];
    world = await new World({...OLD_KEYS, queues}).start();
    expect(await world.call(undefined)).to.equal('done');
    world.cutFromLeader.add(NEAR);
    await world.putBundle(NEW_KEYS);
    expect(await world.call(undefined)).to.equal('unauthenticated');
  });
  it('a submission records its customer and zone, and a cancellation needs a key', async () => {
    world = await new World(OLD_KEYS).start();
    const path = `${QUEUE}b`;
    const spec = testSpec([testStep()]);
    const submission = {kind: 'submit', path, spec, zone: OWN_ZONE} as const;
    expect(await world.call('new', submission)).to.equal('unauthenticated');
    expect(await world.call('old', submission)).to.equal('accepted');
    const cancel = {kind: 'cancel', path} as const;
    expect(await world.call('new', cancel)).to.equal('unauthenticated');
    expect(await world.call('old', cancel)).to.equal('cancelled');
    const [submit, ...rest] = world.submitted;
    expect(submit).to.include({customer: 'acme', zone: OWN_ZONE});
    expect(rest.map(({kind}) => kind)).to.eql(['cancel']);
  });
  it('no line shows a key or a digest', async () => {
    world = await new World(OLD_KEYS).start();
    await world.putBundle({...NEW_KEYS, source: 'topsecret'});
    await world
      .putBundle({
        ...NEW_KEYS,
        version: 3,
        customers: [testKeyedCustomer('acme', ['topsecret', 'topsecret'])],
      })
      .catch(() => undefined);
    await world.call('topsecret');
    const text = JSON.stringify(world.lines);
    expect(text).to.contain('"outcome":"unknown"');
    expect(text).not.to.contain('topsecret');
    expect(text).not.to.contain(testDigest('topsecret'));
  });
});
