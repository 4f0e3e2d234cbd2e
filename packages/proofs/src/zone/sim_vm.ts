import {
  AuthorityTask,
  EntryTask,
  IdempotentRequests,
  ReplicaTask,
  ZoneLeaderPort,
  ZoneTask,
  type AttemptCall,
  type AttemptResult,
  type JournalRecorder,
  type LogPort,
  type StartResult,
  type UpstreamPort,
  type WorkerPort,
} from '@primrosewick/coordination';
import type {VmSettings} from '@primrosewick/protocol';
import {
  asId,
  type AttemptId,
  type HolderId,
  type VmId,
} from '@primrosewick/state';
import {Metrics, pause} from '@primrosewick/transport';
import {FakePeers, type PeerEndpoint} from '../world/fake_peers.js';
import {SimProcess, VirtualClock} from '../world/process.js';
import {makeJournal} from './journal_check.js';
import type {ZoneWorld} from './zone_world.js';

const MAX_FEED_MS = 100;
/** Time after which an unanswered start counts as unknown, in ms. */
const START_TIMEOUT_MS = 2000;
const CONNECT_TIMEOUT_MS = 200;
const END_RETRY_MS = 500;
/** How often a stopping daemon checks whether it has open requests, in ms. */
const DRAIN_POLL_MS = 20;

/** Short leases, so that many of them begin and end in one run. */
export const SIM_TIMING = {
  shareMs: 2000,
  shareMarginMs: 800,
  announceMs: 3000,
  taskLeaseMs: 4000,
  taskMarginMs: 800,
  zoneLeaseMs: 2000,
  zoneRenewMs: 500,
};

/** How often an entry renews its shares, in ms. */
export const SIM_SYNC_MS = 300;

/** The daemon of one VM: the production tasks behind fake ports. */
export class SimVm implements PeerEndpoint {
  readonly process = new SimProcess();
  readonly journal: JournalRecorder;
  readonly holder: HolderId;
  readonly authority: AuthorityTask;
  readonly zone: ZoneTask;
  readonly leader: ZoneLeaderPort;
  readonly entry: EntryTask;
  readonly idempotentRequests: IdempotentRequests;
  readonly handlers: PeerEndpoint['handlers'];
  /** Whether it is stopping and accepts no new requests. */
  isStopping = false;
  private readonly replica: ReplicaTask;
  private readonly clock: VirtualClock;

  constructor(
    private readonly own: VmSettings,
    boot: number,
    rate: number,
    private readonly world: ZoneWorld,
  ) {
    const {queue, network, random} = world;
    const clock = new VirtualClock({queue, process: this.process, rate});
    this.clock = clock;
    const peers = new FakePeers({
      vm: own.vm,
      process: this.process,
      queue,
      network,
      random,
      placeOf: vm => world.vmOf(vm),
    });
    this.journal = makeJournal(clock);
    const metrics = new Metrics();
    const log: LogPort = {
      propose: command => world.log.propose(this.process, command),
      readIndex: () => world.log.readIndex(this.process),
    };
    this.holder = asId<HolderId>(`${own.vm}.${boot}`);
    this.replica = new ReplicaTask(clock);
    this.authority = new AuthorityTask({
      own,
      vms: world.vms,
      boot: String(boot),
      peers,
      clock,
      timing: {
        leaseMs: SIM_TIMING.zoneLeaseMs,
        renewMs: SIM_TIMING.zoneRenewMs,
      },
      seed: random.nextInt(1, 1 << 30),
    });
    this.zone = new ZoneTask({
      zone: own.zone,
      authority: this.authority,
      replica: this.replica,
      log,
      workers: this.workerPort(),
      clock,
      metrics,
      recorder: this.journal,
      shareTiming: {
        shareMs: SIM_TIMING.shareMs,
        marginMs: SIM_TIMING.shareMarginMs,
        announceMs: SIM_TIMING.announceMs,
      },
      placementLimits: {
        taskLeaseMs: SIM_TIMING.taskLeaseMs,
        marginMs: SIM_TIMING.taskMarginMs,
        announceMs: SIM_TIMING.announceMs,
        setAsideMs: 2000,
      },
      taskLeaseMs: SIM_TIMING.taskLeaseMs,
    });
    this.leader = new ZoneLeaderPort({
      own: own.vm,
      peers,
      zone: this.zone,
      vms: [],
    });
    this.entry = new EntryTask({
      zone: own.zone,
      holder: this.holder,
      replica: this.replica,
      leader: {
        syncShares: request => this.leader.syncShares(request),
        syncOtherZone: () => Promise.reject(new Error('there is one zone')),
      },
      otherZones: [],
      upstreams: this.upstreamPort(),
      clock,
      metrics,
      recorder: this.journal,
      limits: {maxRequests: 100},
      syncMs: SIM_SYNC_MS,
      connectionLimitFor: () => 100,
    });
    this.idempotentRequests = new IdempotentRequests({
      log,
      clock,
      serve: request => this.entry.serve(request),
      onSettleFailure: () => undefined,
    });
    this.handlers = {
      authority: async (message, from) => this.authority.handle(from, message),
      syncShares: async request => this.zone.syncShares(request),
      announceUpstream: async report => this.zone.announceUpstream(report),
      announceWorker: async report => this.zone.announceWorker(report),
    };
    this.start();
  }

  /** Name of the VM. */
  get vm(): VmId {
    return this.own.vm;
  }

  /**
   * Stops as a daemon does on SIGTERM: finishes its open requests, then hands
   * its leadership over.
   */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    while (this.entry.open > 0) await pause(this.clock, DRAIN_POLL_MS);
    await this.authority.resign(this.zone.handOver());
    await this.entry.stop();
    this.zone.stop();
    this.process.kill();
  }

  private start(): void {
    this.replica.restore(this.world.log.image());
    this.replica.open();
    this.authority.start();
    this.zone.start();
    this.entry.start();
    this.scheduleFeed();
  }

  /** Applies the entries of the log to the replica after a short delay. */
  private scheduleFeed(): void {
    this.world.queue.after(this.world.random.nextInt(10, MAX_FEED_MS), () =>
      this.process.run(() => {
        const isOpen = this.world.log.isReachable;
        if (isOpen)
          for (const entry of this.world.log.after(this.replica.replica.index))
            this.replica.apply(entry);
        this.scheduleFeed();
      }),
    );
  }

  private workerPort(): WorkerPort {
    const {network, queue} = this.world;
    return {
      start: (order, epoch, leaseMs) =>
        new Promise<StartResult>(resolve => {
          const {
            address,
            worker,
            task,
            attempt,
            command,
            size,
            leaseSeq,
            runMs,
            graceMs,
          } = order;
          const settle = (result: StartResult): void =>
            this.process.run(() => resolve(result));
          queue.after(START_TIMEOUT_MS, () => settle('unknown'));
          network.send(this.vm, address, () => {
            const startOrder = {
              epoch,
              worker,
              task,
              attempt,
              command,
              size,
              leaseSeq,
              leaseMs,
              runMs,
              graceMs,
            };
            const reply = (result: StartResult): void =>
              network.send(address, this.vm, () => settle(result));
            this.world.workerAt(address)?.order(startOrder, reply);
          });
        }),
    };
  }

  private upstreamPort(): UpstreamPort {
    return {
      send: call =>
        new Promise(resolve =>
          this.sendAttempt(call, result =>
            this.process.run(() => resolve(result)),
          ),
        ),
      end: (address, attempt) =>
        new Promise(resolve =>
          this.endAttempt(address, attempt, () => this.process.run(resolve)),
        ),
    };
  }

  /**
   * Sends an attempt over a connection that may break; a request may arrive
   * even if its connection breaks.
   */
  private sendAttempt(
    call: AttemptCall,
    settle: (result: AttemptResult) => void,
  ): void {
    const {network, queue, random, faults} = this.world;
    const upstream = this.world.upstreamAt(call.address);
    const isCut = !upstream || network.isCut(this.vm, call.address);
    if (isCut)
      return queue.after(CONNECT_TIMEOUT_MS, () =>
        settle({kind: random.nextInt(0, 1) === 0 ? 'unreachable' : 'lost'}),
      );
    const breaks = random.nextInt(1, 100) <= faults.lossPercent;
    const arrives = !breaks || random.nextInt(0, 1) === 0;
    if (breaks)
      queue.after(random.nextInt(1, CONNECT_TIMEOUT_MS), () =>
        settle({kind: 'lost'}),
      );
    if (!arrives) return;
    queue.after(random.nextInt(1, faults.maxDelayMs), () =>
      upstream.serve(call, result =>
        queue.after(random.nextInt(1, faults.maxDelayMs), () => settle(result)),
      ),
    );
  }

  private endAttempt(
    address: string,
    attempt: AttemptId,
    done: () => void,
  ): void {
    const {network, queue, random} = this.world;
    if (!this.process.isAlive) return;
    const upstream = this.world.upstreamAt(address);
    if (!upstream || network.isCut(this.vm, address)) {
      return queue.after(END_RETRY_MS, () =>
        this.endAttempt(address, attempt, done),
      );
    }
    queue.after(random.nextInt(1, 20), () => upstream.end(attempt, done));
  }
}
