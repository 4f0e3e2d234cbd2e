/** Node of a cell that schedules workflows: an entry node, or a voter on a VM with a disk. */
import {randomInt} from 'node:crypto';
import type Logger from 'bunyan';
import type {Registry} from 'prom-client';
import {
  type AnnouncementRelay,
  GatewayTask,
  LoadSheddingTask,
  type RecordLoadTask,
  SchedulerTask,
  WorkflowService,
  type AdvicePort,
  type OrderPort,
} from '@primrosewick/coordination';
import {
  type ClusterSettings,
  type LinkHello,
  type LinkHelloReply,
  type LinkMethods,
  type VersionedLimits,
  type WorkflowReply,
  type WorkflowRequest,
} from '@primrosewick/protocol';
import {
  CellError,
  findBundleError,
  reportCustomers,
  toCellError,
  type Bundle,
  type CustomerReport,
  type VmId,
  type WorkerRegistration,
} from '@primrosewick/state';
import {
  LinkClient,
  LinkServer,
  StallWatch,
  systemClock,
} from '@primrosewick/transport';
import {AdviceCalls} from './advice_calls.js';
import {makeAnnouncementRelay} from './announcement_relay.js';
import {AuthenticationLog} from './authentication_log.js';
import {BundleLimits, limitsOf} from './bundle_limits.js';
import {BundleReader} from './bundle_reader.js';
import {makeGateway, makeRequestRouter} from './client_calls.js';
import {LiveVms} from './live_vms.js';
import {makeDecisionJournal} from './decision_journal.js';
import {makeLeaderCounters, type LeaderCounters} from './leader_counters.js';
import {makeNodeHandlers} from './node_handlers.js';
import {makeReplicaReaders, type ReplicaReaders} from './replica_readers.js';
import {queryPeers} from './query_peers.js';
import {makeRecordLoad} from './record_times.js';
import {makeReplica} from './replica_settings.js';
import {DroppedReplyLog} from './dropped_reply_log.js';
import {makePlacementQueries} from './placement_queries.js';
import {
  WorkflowRequestRouter,
  type RequestTerms,
} from './workflow_request_router.js';
import {CLUSTER_NAME, ELECTION_MS, ReplicatedLog} from './replicated_log.js';

/** Options of {@link ClusterNode}. */
export interface ClusterNodeOptions {
  readonly settings: ClusterSettings;
  readonly logger: Logger;
  /** Registry for the metrics of this VM. */
  readonly registry: Registry;
  readonly orders: OrderPort;
  readonly advice: AdvicePort;
  /** Whether a text is an id that a client may choose for a workflow. */
  readonly isWorkflowId: (text: string) => boolean;
  readonly onFatal: (err: CellError) => void;
}

/** Pause between a failure of the data folder and the end of the process, in ms. */
const REOPEN_PAUSE_MS = 1500;
/** Upper bound of the random seed for elections, exclusive. */
const MAX_SEED = 2 ** 31;

/** Node of a cell that schedules workflows. */
export class ClusterNode {
  readonly gateway: GatewayTask;
  /** Tells where jobs would go. */
  readonly placements: ReturnType<typeof makePlacementQueries>;
  private readonly peers: LinkClient;
  private readonly server: LinkServer;
  private readonly replica: ReturnType<typeof makeReplica>;
  private readonly log: ReplicatedLog | null;
  private readonly service: WorkflowService | null;
  private readonly readers: ReplicaReaders | null;
  private readonly announcements: AnnouncementRelay | null;
  private readonly calls: WorkflowRequestRouter;
  private readonly authentication: AuthenticationLog;
  private readonly bundles: BundleReader;
  private scheduler: SchedulerTask | null = null;
  private readonly callers: LiveVms;
  private readonly adviceCalls: AdviceCalls;
  private readonly counters: LeaderCounters;
  /** Decisions of the scheduler while this VM led, for `explain` and `replay`. */
  readonly journal = makeDecisionJournal();
  private readonly load = new LoadSheddingTask(systemClock);
  private readonly records: RecordLoadTask;
  private readonly limits = new BundleLimits();
  private readonly stalls = new StallWatch(systemClock);
  private isStopping = false;

  constructor(private readonly options: ClusterNodeOptions) {
    const {settings, logger} = options;
    this.replica = makeReplica(settings);
    this.peers = new LinkClient({
      cell: CLUSTER_NAME,
      vm: settings.peer,
      onBytes: () => undefined,
    });
    this.callers = new LiveVms(settings.peer, systemClock);
    this.adviceCalls = new AdviceCalls({
      vm: settings.peer,
      peers: this.peers,
      port: options.advice,
      clock: systemClock,
    });
    this.counters = makeLeaderCounters(options.registry, this.replica.db);
    this.records = makeRecordLoad(options, randomInt(MAX_SEED));
    this.log = this.makeLog();
    this.service = this.log && this.makeService(this.log);
    this.readers = this.log && this.makeReaders(this.log);
    this.announcements = this.log && this.makeAnnouncements(this.log);
    this.gateway = makeGateway(options, this.peers, () => this.hello());
    this.gateway.helloReplies.subscribe(({limits}) =>
      this.limits.observe(limits),
    );
    this.calls = makeRequestRouter(options, {
      gateway: this.gateway,
      peers: this.peers,
      readers: this.readers,
      stalls: this.stalls,
    });
    this.authentication = new AuthenticationLog({
      ...options,
      clock: systemClock,
    });
    this.bundles = new BundleReader({
      reader: this.readers?.confirmed ?? null,
      gateway: this.gateway,
      clock: systemClock,
      logger,
    });
    this.placements = makePlacementQueries(options, this.replica.db, {
      isReadable: () => this.readers?.reader.isReadable === true,
      leaderInput: () => this.scheduler?.trialInput(),
      callerCount: () => this.callers.list().length,
    });
    const droppedReplyLog = new DroppedReplyLog(logger, systemClock);
    this.server = new LinkServer({
      address: settings.peer,
      cell: CLUSTER_NAME,
      handlers: makeNodeHandlers({
        hello: from => this.helloReply(from),
        log: this.log,
        service: this.service,
        readers: this.readers,
        adviceCalls: this.adviceCalls,
        readIndex: () => this.readIndex(),
      }),
      onRefusal: err => logger.info({decision: 'refuse', err: err.toBody()}),
      onDisconnected: vm => this.onPeerLost(vm),
      onDroppedReply: unsent => droppedReplyLog.logDrop(unsent),
    });
  }

  /**
   * Reports a VM whose stream broke to the log: it may have failed, and may
   * have been the leader.
   */
  private onPeerLost(vm: VmId): void {
    if (this.isStopping) return;
    this.options.logger.info(
      {change: 'peer_lost', peer: vm},
      'stream from another VM broke',
    );
    this.log?.recordPeerLoss(vm);
  }

  /** Opens the data folder, starts listening and joins the cell. */
  async start(): Promise<void> {
    await this.log?.open();
    this.stalls.start();
    await this.server.listen();
    this.gateway.start();
    this.announcements?.start();
    this.log
      ?.run(
        () => queryPeers(this.peers, this.gateway.vms, this.hello()),
        this.options.settings.seeds,
      )
      .catch((err: unknown) =>
        this.options.onFatal(toCellError(err, 'run-log')),
      );
  }

  /** Reports this VM as not ready from now on; reads no longer wait for an end. */
  beginStop(): void {
    this.isStopping = true;
    this.calls.beginDrain();
    this.readers?.blocking.stop();
  }

  /** Transfers the leadership if this VM leads, and stops. */
  async stop(): Promise<void> {
    this.beginStop();
    this.gateway.stop();
    this.stalls.stop();
    this.announcements?.stop();
    await this.log?.close();
    this.scheduler?.close();
    this.peers.close();
    this.server.close();
  }

  /** Whether clients' requests can be routed to a leader. */
  get isReady(): boolean {
    return !this.isStopping && this.gateway.hasContact;
  }

  /**
   * Longest time for which a request that is read now may have waited in its socket,
   * in ms; 0 unless this process has just stood still.
   */
  get unreadMs(): number {
    return this.stalls.unreadMs;
  }

  /** Limits on clients of the latest bundle that this VM knows; null before any. */
  get clientLimits(): VersionedLimits | null {
    return this.limits.current;
  }

  private makeLog(): ReplicatedLog | null {
    const {settings, logger, onFatal} = this.options;
    if (settings.dataFolder === null) return null;
    return new ReplicatedLog({
      vm: settings.peer,
      zone: settings.zone,
      dataFolder: settings.dataFolder,
      mayFound: settings.mayFound,
      targetVoters: 2 * settings.toleratedVms + 1,
      replica: this.replica,
      peers: this.peers,
      clock: systemClock,
      seed: randomInt(MAX_SEED),
      logger,
      registry: this.options.registry,
      records: this.records,
      onLeading: term => this.onLeading(term),
      onFailure: err => {
        // The other VMs continue; the pause prevents a restart loop if the folder keeps failing.
        setTimeout(() => onFatal(err), REOPEN_PAUSE_MS);
      },
    });
  }

  private makeService(log: ReplicatedLog): WorkflowService {
    return new WorkflowService({
      ...this.options,
      replica: this.replica,
      log,
      clock: systemClock,
      load: this.load,
      records: this.records,
      onAnnouncement: worker => this.scheduler?.noteAnnouncement(worker),
      onSubmission: workflow => this.scheduler?.noteSubmission(workflow),
      onUnrecorded: id => this.scheduler?.noteUnrecorded(id),
      onRefused: (queue, why) => this.scheduler?.noteRefused(queue, why),
      onGivenUp: this.counters.onGivenUp,
      onAccepted: this.counters.onAccepted,
      checkLife: life => this.scheduler?.lives.check(life),
      answers: claim => this.scheduler?.lives.answers(claim),
      depart: life => this.scheduler?.lives.depart(life),
    });
  }

  private makeReaders(log: ReplicatedLog): ReplicaReaders {
    return makeReplicaReaders({
      ...this.options,
      replica: this.replica,
      clock: systemClock,
      ageMs: () => log.contactAgeMs,
      peers: this.peers,
      askOwn: () => this.readIndex(),
      leaderVm: () => log.leaderVm ?? this.gateway.leaderVm,
    });
  }

  private readIndex(): Promise<LinkMethods['readIndex']['reply']> {
    return (
      this.service?.readIndex() ??
      Promise.resolve({kind: 'not_leader', leader: null})
    );
  }

  private makeAnnouncements(log: ReplicatedLog): AnnouncementRelay {
    return makeAnnouncementRelay({
      replica: this.replica,
      clock: systemClock,
      ageMs: () => log.contactAgeMs,
      logger: this.options.logger,
      gateway: () => this.gateway,
    });
  }

  private onLeading(term: number | null): void {
    const {settings, logger, orders} = this.options;
    this.scheduler?.close();
    this.scheduler = null;
    this.load.stop();
    this.records.stop();
    logger.info(
      {change: term === null ? 'lead_ended' : 'lead_began', term},
      'leadership changed',
    );
    if (term === null || !this.log) return;
    const {log} = this;
    this.scheduler = new SchedulerTask({
      replica: this.replica,
      clock: systemClock,
      logger,
      orders,
      workerLimits: settings,
      term,
      maxStaleLeaderMs: 2 * ELECTION_MS,
      leadershipConfirmedAgeMs: () => log.leadershipConfirmedAgeMs,
      propose: command => log.propose(command),
      ...this.counters,
      callers: () => this.callers.list(),
      ask: (...call) => this.adviceCalls.ask(...call),
      mayDeferUseless: settings.mayDeferUseless,
      mayShareZones: settings.mayShareZones,
      mayAvoidFailed: settings.mayAvoidFailed,
      recorder: this.journal,
    });
    this.scheduler.start();
    this.load.start();
    this.records.start();
  }

  private hello(): LinkHello {
    const {settings} = this.options;
    return {
      vm: settings.peer,
      zone: settings.zone,
      node: this.log?.node ?? null,
      hasState: this.log?.hasState ?? false,
      mayFound: settings.mayFound,
    };
  }

  private helloReply(from: LinkHello): LinkHelloReply {
    this.log?.recordHello(from);
    this.callers.markAlive(from.vm);
    const isServing =
      this.log?.isLeading === true && this.replica.db.bundle !== null;
    return {
      ...this.hello(),
      leader: this.log?.leaderVm ?? null,
      members: this.log?.memberVms ?? [],
      isServing,
      isReadable: this.readers?.reader.isReadable === true,
      index: this.replica.index,
      limits: limitsOf(this.replica.db.bundle),
    };
  }

  /** Routes a client's request to a VM that can answer it. */
  request(
    request: WorkflowRequest,
    terms: RequestTerms,
  ): Promise<WorkflowReply> {
    const {zone} = this.options.settings;
    const sent = request.kind === 'submit' ? {...request, zone} : request;
    return this.authentication.watch(sent, this.calls.request(sent, terms));
  }

  /**
   * Terms and usage of all customers as this VM's copy of the log has them.
   * @throws CellError `log_unavailable` without a copy that may be read.
   */
  listCustomers(): readonly CustomerReport[] {
    if (this.readers?.reader.isReadable)
      return reportCustomers(this.replica.db);
    throw new CellError({code: 'log_unavailable', step: 'list-customers'});
  }

  /** Handles the announcement of a worker, until a deadline of the monotonic clock in ms. */
  async announce(report: WorkerRegistration, deadline: number): Promise<void> {
    if (this.announcements?.take(report)) return;
    await this.gateway.callLeader('announceWorker', report, deadline);
  }

  /**
   * Puts a bundle in force, until a deadline of the monotonic clock in ms. One
   * that this VM's copy of the log holds, or a later one, is in force already.
   * @throws CellError `invalid_input`, or from the call to the leader.
   */
  async putBundle(bundle: Bundle, deadline: number): Promise<void> {
    const detail = findBundleError(bundle);
    if (detail !== undefined)
      throw new CellError({code: 'invalid_input', step: 'put-bundle', detail});
    const inForce = this.replica.db.bundle?.version;
    if (inForce !== undefined && inForce >= bundle.version) return;
    await this.gateway.callLeader('putBundle', {bundle}, deadline);
  }

  /**
   * Reads the bundle in force, until a deadline of the monotonic clock in ms.
   * @throws CellError `log_unavailable` when it is not certain which one it is.
   */
  readBundle(deadline: number): Promise<Bundle> {
    return this.bundles.read(deadline);
  }
}
