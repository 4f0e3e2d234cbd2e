import {
  FollowTask,
  ReplicaTask,
  rankFollowSources,
} from '@primrosewick/coordination';
import type {PeerMethods, VmSettings} from '@primrosewick/protocol';
import {
  asId,
  seededRandom,
  type ProfileName,
  type Random,
  type VmId,
  type ZoneId,
} from '@primrosewick/state';
import {EventQueue} from '../world/event_queue.js';
import {FakeNetwork, NO_FAULTS} from '../world/fake_network.js';
import {FakePeers, type PeerEndpoint} from '../world/fake_peers.js';
import {SimProcess, VirtualClock} from '../world/process.js';
import {plainProfile} from '../world/profiles.js';
import {FakeLog} from '../zone/fake_log.js';

const NAME = asId<ProfileName>('desk');
const VOTER_LAG_MS = 400;
const SETTLE_MS = 30_000;

/** One VM with a replica of the cell state. */
interface ReplicaVm extends PeerEndpoint {
  readonly settings: VmSettings;
  readonly replica: ReplicaTask;
}

/** VMs of two zones that follow voters, or one another, on virtual time. */
export class FollowWorld {
  readonly queue = new EventQueue();
  readonly network: FakeNetwork;
  readonly vms: VmSettings[];
  private readonly random: Random;
  private readonly log: FakeLog;
  private readonly replicaVms = new Map<VmId, ReplicaVm>();
  private readonly lastRevision = new Map<ReplicaVm, number>();
  private readonly lastRevisionByVm = new Map<VmId, number>();
  /**
   * Whether a VM may have been cut off from the log. After a restart it then
   * accepts the copy of a VM of its zone, which may be older than what it
   * showed before.
   */
  hadFaults = false;
  private revision = 0;

  constructor(seed: number) {
    this.random = seededRandom(seed);
    this.network = new FakeNetwork(this.queue, this.random);
    this.log = new FakeLog(this.queue, this.random);
    this.vms = [
      makeVm('a0', 'a', true),
      makeVm('a1', 'a', false),
      makeVm('a2', 'a', false),
      makeVm('b0', 'b', false),
      makeVm('b1', 'b', false),
      makeVm('b2', 'b', false),
    ];
    for (const {vm} of this.vms) this.boot(vm);
  }

  /**
   * Advances virtual time and checks that no replica goes back to an older
   * revision.
   */
  async advance(ms: number): Promise<void> {
    await this.queue.advanceAsync(ms);
    for (const replicaVm of this.replicaVms.values()) this.check(replicaVm);
  }

  /** Commits a number of new revisions of a profile. */
  change(count: number): void {
    for (let i = 0; i < count; i++) {
      this.log.commit({
        at: 0,
        body: {
          kind: 'put_profile',
          profile: plainProfile('desk'),
          baseRevision: this.revision++,
        },
      });
    }
  }

  /** Restarts the process of a VM. */
  boot(vm: VmId): void {
    this.replicaVms.get(vm)?.process.kill();
    const settings = this.vms.find(other => other.vm === vm)!;
    const process = new SimProcess();
    const clock = new VirtualClock({queue: this.queue, process, rate: 1});
    const replica = new ReplicaTask(clock);
    const replicaVm: ReplicaVm = {
      settings,
      process,
      replica,
      handlers: this.handlersOf(replica, settings),
    };
    this.replicaVms.set(vm, replicaVm);
    if (settings.disk) this.feedVoter(replicaVm);
    else this.follow(replicaVm, clock);
  }

  /** Freezes the process of a VM for a time, in ms. */
  async freeze(vm: VmId, ms: number): Promise<void> {
    this.hadFaults = true;
    const {process} = this.replicaVms.get(vm)!;
    process.isFrozen = true;
    await this.advance(ms);
    process.thaw();
  }

  /**
   * Ends all faults, with one VM frozen that the others of its zone must stop
   * following, and checks that every other replica is current. Then resumes
   * that VM and checks all replicas.
   */
  async settle(): Promise<void> {
    this.network.heal();
    this.network.faults = NO_FAULTS;
    const frozen = this.replicaVms.get(asId<VmId>('b0'))!;
    frozen.process.isFrozen = true;
    await this.advance(SETTLE_MS);
    this.checkCurrent([frozen]);
    frozen.process.thaw();
    await this.advance(SETTLE_MS);
    this.checkCurrent([]);
  }

  private checkCurrent(excluded: readonly ReplicaVm[]): void {
    for (const replicaVm of this.replicaVms.values()) {
      const {settings, replica} = replicaVm;
      const shown = replica.isReady ? replica.replica.index : -1;
      const isCurrent =
        shown === this.log.index || excluded.includes(replicaVm);
      if (!isCurrent)
        throw new Error(
          `${settings.vm} is at index ${shown} of ${this.log.index}`,
        );
    }
  }

  private handlersOf(
    replica: ReplicaTask,
    {disk}: VmSettings,
  ): ReplicaVm['handlers'] {
    const readIndex = async (): Promise<PeerMethods['readIndex']['reply']> =>
      disk
        ? {kind: 'ok', value: {index: this.log.index}}
        : {kind: 'not_leader', leader: null};
    return {follow: request => replica.follow(request), readIndex};
  }

  /**
   * Feeds a voter the entries of the log after a delay; it is current at its
   * start.
   */
  private feedVoter(replicaVm: ReplicaVm): void {
    const {replica, process} = replicaVm;
    replica.restore(this.log.image());
    replica.open();
    const feed = (): void => {
      this.queue.after(this.random.nextInt(10, VOTER_LAG_MS), () =>
        process.run(() => {
          for (const entry of this.log.after(replica.replica.index))
            replica.apply(entry);
          replica.noteFresh(this.queue.now);
          feed();
        }),
      );
    };
    feed();
  }

  private follow(
    {settings, replica, process}: ReplicaVm,
    clock: VirtualClock,
  ): void {
    const {queue, network, random} = this;
    const peers = new FakePeers({
      vm: settings.vm,
      process,
      queue,
      network,
      random,
      placeOf: vm => this.replicaVms.get(vm),
    });
    const sources = rankFollowSources(this.vms, settings);
    const voters = this.vms.filter(({disk}) => disk).map(({vm}) => vm);
    void new FollowTask({
      replica,
      peers,
      clock,
      boot: 'b',
      sources,
      voters,
    }).run();
  }

  private check(replicaVm: ReplicaVm): void {
    const {settings, replica} = replicaVm;
    if (!replica.isReady) return;
    const revision = replica.replica.state.getProfile(NAME)?.revision ?? 0;
    const before = this.lastRevision.get(replicaVm) ?? 0;
    if (revision < before)
      throw new Error(
        `${settings.vm} showed revision ${before} and then ${revision}`,
      );
    this.lastRevision.set(replicaVm, revision);
    this.checkVm(settings.vm, revision);
  }

  private checkVm(vm: VmId, revision: number): void {
    if (this.hadFaults) return;
    const before = this.lastRevisionByVm.get(vm) ?? 0;
    if (revision < before)
      throw new Error(
        `${vm} showed revision ${before} and, after a restart, ${revision}`,
      );
    this.lastRevisionByVm.set(vm, revision);
  }
}

const makeVm = (vm: string, zone: string, disk: boolean): VmSettings => ({
  vm: asId<VmId>(vm),
  zone: asId<ZoneId>(zone),
  peer: '127.0.0.1:1',
  disk,
});
