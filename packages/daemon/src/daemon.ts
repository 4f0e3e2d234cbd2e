/** Wires the tasks of one VM together, and starts and stops them in order. */
import {randomBytes, randomInt} from 'node:crypto';
import type Logger from 'bunyan';
import {
  AuthorityTask,
  EntryTask,
  FollowTask,
  HttpUpstreamPort,
  IdempotentRequests,
  ReplicaTask,
  ZoneLeaderPort,
  ZoneTask,
  rankFollowSources,
  type LeaderPort,
  type LogPort,
} from '@primrosewick/coordination';
import {
  ownVm,
  vmsOfZone,
  zonesOf,
  type Settings,
  type VmSettings,
  type VmStatus,
} from '@primrosewick/protocol';
import {
  CellError,
  DEFAULT_SHARE_TIMING,
  asId,
  type HolderId,
  type ZoneId,
} from '@primrosewick/state';
import {
  Metrics,
  PeerClient,
  PeerServer,
  sleep,
  systemClock,
  type HttpServer,
} from '@primrosewick/transport';
import {makeLogPort, votersByDistance} from './log_port.js';
import {peerHandlers} from './peer_handlers.js';
import {httpWorkerPort} from './ports/worker_port.js';
import type {RouteContext} from './routes/context.js';
import {JournalRecorder} from '@primrosewick/coordination';
import {makeServers} from './servers.js';
import {vmStatus} from './vm_status.js';
import {Voter} from './voter.js';

const MAX_SEED = 2 ** 31 - 1;
const BOOT_BYTES = 4;
/** Time after which an unfinished attempt counts as lost, in ms. */
const ATTEMPT_MS = 15 * 60 * 1000;

const newSeed = (): number => randomInt(MAX_SEED);

/** The daemon of one VM. */
export class Daemon {
  private readonly own: VmSettings;
  private readonly boot = randomBytes(BOOT_BYTES).toString('hex');
  private readonly holder: HolderId;
  private readonly metrics = new Metrics();
  private readonly clock = systemClock;
  private readonly recorder: JournalRecorder;
  private readonly peers: PeerClient;
  private readonly replica: ReplicaTask;
  private readonly authority: AuthorityTask;
  private readonly voter: Voter | null;
  private readonly log: LogPort;
  private readonly zone: ZoneTask;
  private readonly leaders: ReadonlyMap<ZoneId, ZoneLeaderPort>;
  private readonly upstreams: HttpUpstreamPort;
  private readonly entry: EntryTask;
  private readonly follow: FollowTask | null;
  private readonly servers: HttpServer[];
  private readonly peerServer: PeerServer;
  private isStopping = false;

  constructor(
    private readonly settings: Settings,
    private readonly logger: Logger,
  ) {
    this.own = ownVm(settings);
    this.holder = asId<HolderId>(`${this.own.vm}.${this.boot}`);
    this.recorder = new JournalRecorder({
      clock: this.clock,
      maxBytes: settings.limits.journalBytes,
    });
    this.peers = this.makePeers();
    this.replica = new ReplicaTask(this.clock);
    this.authority = this.makeAuthority();
    this.voter = this.makeVoter();
    this.log = this.makeLog();
    this.zone = this.makeZone();
    this.leaders = this.makeLeaders();
    this.upstreams = this.makeUpstreams();
    this.entry = this.makeEntry();
    this.follow = this.makeFollow();
    const context = this.makeContext();
    this.servers = makeServers(context);
    this.peerServer = this.makePeerServer();
    this.logChanges();
  }

  /** Starts all tasks; resolves once the servers listen. */
  async start(): Promise<void> {
    await this.voter?.open();
    await this.peerServer.listen();
    await Promise.all(this.servers.map(server => server.listen()));
    this.authority.start();
    this.zone.start();
    this.entry.start();
    void this.voter?.run();
    void this.follow?.run();
    this.logger.info({change: 'started', boot: this.boot}, 'started');
  }

  /** Stops gracefully: accepted requests may finish within the time for stopping. */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    this.logger.info({change: 'stopping'}, 'stopping');
    const closed = Promise.all(this.servers.map(server => server.close()));
    await Promise.race([closed, sleep(this.settings.timing.stopMs)]);
    await this.authority.resign(this.zone.handOver());
    await this.entry.stop();
    this.zone.stop();
    this.follow?.stop();
    await this.voter?.close();
    for (const server of this.servers) server.destroy();
    this.peerServer.close();
    this.peers.close();
    this.upstreams.close();
    this.logger.info({change: 'stopped'}, 'stopped');
  }

  private makePeers(): PeerClient {
    const {cell, vms} = this.settings;
    return new PeerClient({
      cell,
      vms,
      vm: this.own.vm,
      zone: this.own.zone,
      onBytes: (scope, direction, bytes) =>
        this.metrics.addPeerBytes(scope, direction, bytes),
    });
  }

  private makeAuthority(): AuthorityTask {
    const {vms, timing} = this.settings;
    return new AuthorityTask({
      own: this.own,
      vms,
      boot: this.boot,
      peers: this.peers,
      clock: this.clock,
      timing: {leaseMs: timing.zoneLeaseMs, renewMs: timing.zoneRenewMs},
      seed: newSeed(),
    });
  }

  private makeVoter(): Voter | null {
    const {dataFolder} = this.settings;
    if (!this.own.disk || !dataFolder) return null;
    return new Voter({
      settings: this.settings,
      dataFolder,
      boot: this.boot,
      replica: this.replica,
      peers: this.peers,
      clock: this.clock,
      seed: newSeed(),
      logger: this.logger,
      metrics: this.metrics,
    });
  }

  private makeLog(): LogPort {
    const {own, settings, voter, peers, clock, metrics, boot} = this;
    return makeLogPort({own, settings, voter, peers, clock, metrics, boot});
  }

  private makeZone(): ZoneTask {
    const {timing} = this.settings;
    return new ZoneTask({
      zone: this.own.zone,
      authority: this.authority,
      replica: this.replica,
      log: this.log,
      workers: httpWorkerPort,
      clock: this.clock,
      metrics: this.metrics,
      recorder: this.recorder,
      shareTiming: {
        ...DEFAULT_SHARE_TIMING,
        shareMs: timing.shareMs,
        announceMs: timing.announceMs,
      },
      placementLimits: {
        taskLeaseMs: timing.taskLeaseMs,
        announceMs: timing.announceMs,
      },
      taskLeaseMs: timing.taskLeaseMs,
    });
  }

  private makeLeaders(): ReadonlyMap<ZoneId, ZoneLeaderPort> {
    const {own, peers, settings} = this;
    const portOf = (zone: ZoneId): ZoneLeaderPort =>
      new ZoneLeaderPort({
        own: own.vm,
        peers,
        zone: zone === own.zone ? this.zone : null,
        vms: vmsOfZone(settings, zone).map(({vm}) => vm),
      });
    return new Map(zonesOf(settings).map(zone => [zone, portOf(zone)]));
  }

  private entryPort(): LeaderPort {
    const portOf = (zone: ZoneId): ZoneLeaderPort => {
      const port = this.leaders.get(zone);
      if (!port)
        throw new CellError({
          code: 'no_zone_leader',
          step: 'find-zone',
          peer: zone,
        });
      return port;
    };
    return {
      syncShares: request => portOf(this.own.zone).syncShares(request),
      syncOtherZone: (zone, request) => portOf(zone).syncShares(request),
    };
  }

  private makeUpstreams(): HttpUpstreamPort {
    return new HttpUpstreamPort({
      clock: this.clock,
      maxAnswerBytes: this.settings.limits.answerBytes,
      attemptMs: ATTEMPT_MS,
    });
  }

  private makeEntry(): EntryTask {
    const {settings} = this;
    return new EntryTask({
      zone: this.own.zone,
      otherZones: zonesOf(settings).filter(zone => zone !== this.own.zone),
      holder: this.holder,
      replica: this.replica,
      leader: this.entryPort(),
      upstreams: this.upstreams,
      clock: this.clock,
      metrics: this.metrics,
      recorder: this.recorder,
      limits: {maxRequests: settings.limits.requests},
      syncMs: settings.timing.shareSyncMs,
      connectionLimitFor: connections =>
        Math.max(1, Math.floor(connections / settings.vms.length)),
    });
  }

  private makeFollow(): FollowTask | null {
    if (this.own.disk) return null;
    return new FollowTask({
      replica: this.replica,
      peers: this.peers,
      clock: this.clock,
      boot: this.boot,
      sources: rankFollowSources(this.settings.vms, this.own),
      voters: votersByDistance(this.settings, this.own),
    });
  }

  private makeContext(): RouteContext {
    const {
      settings,
      holder,
      clock,
      metrics,
      peers,
      replica,
      log,
      entry,
      authority,
    } = this;
    const keyed = new IdempotentRequests({
      log,
      clock,
      serve: request => entry.serve(request),
      onSettleFailure: err => metrics.addRefusal(err.code, err.step),
    });
    return {
      settings,
      holder,
      clock,
      metrics,
      peers,
      replica,
      log,
      entry,
      idempotentRequests: keyed,
      leaders: this.leaders,
      authority,
      consensus: () => this.voter?.task ?? null,
      recorder: this.recorder,
      ownStatus: () => this.status(),
      isStopping: () => this.isStopping,
    };
  }

  private makePeerServer(): PeerServer {
    const handlers = peerHandlers({
      own: this.own,
      boot: this.boot,
      replica: this.replica,
      authority: this.authority,
      zone: this.zone,
      voter: this.voter,
      status: () => this.status(),
      recorder: this.recorder,
    });
    return new PeerServer({
      address: this.settings.listen.peer,
      cell: this.settings.cell,
      vm: this.own.vm,
      handlers,
      onRefusal: err => this.metrics.addRefusal(err.code, err.step),
    });
  }

  private status(): VmStatus {
    const {own, boot, isStopping, replica, authority, zone, entry, voter} =
      this;
    return vmStatus({
      own,
      boot,
      isStopping,
      replica,
      authority,
      zone,
      entry,
      voter,
    });
  }

  private logChanges(): void {
    this.authority.changes.subscribe(change => {
      this.metrics.addChange(`zone_leader_${change.kind}`);
      this.logger.info(
        {change: `zone_leader_${change.kind}`, ...change},
        'zone leader changed',
      );
    });
  }
}
