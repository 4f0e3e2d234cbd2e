/**
 * Replicated log of a VM with a disk: opens the data folder, founds or
 * joins the cell, and repairs its membership.
 */
import type Logger from 'bunyan';
import type {Registry} from 'prom-client';
import {
  ConsensusTask,
  caughtUpNodes,
  chooseInitialVoters,
  initialVotersState,
  nextMembershipChange,
  openIdentity,
  replaceState,
  restoreState,
  type ConsensusStatus,
  type LogAccess,
  type RecordLoadTask,
  type RestoredState,
  type WorkflowReplica,
} from '@primrosewick/coordination';
import type {LinkHello, LinkHelloReply} from '@primrosewick/protocol';
import {
  CellError,
  NodeFolder,
  asId,
  toCellError,
  vmOfNode,
  type CellId,
  type NodeId,
  type VmId,
  type WorkflowCommand,
  type WorkflowResult,
  type ZoneId,
} from '@primrosewick/state';
import {
  SuspensionDetector,
  pause,
  type Clock,
  type LinkCaller,
} from '@primrosewick/transport';
import {ReplicationLog} from './replication_log.js';
import {VoterAnnouncements} from './voter_announcements.js';

/** Cell name by which the VMs of one cell identify each other. */
export const CLUSTER_NAME = 'primrosewick';

/** Options of {@link ReplicatedLog}. */
export interface ReplicatedLogOptions {
  readonly vm: VmId;
  readonly zone: ZoneId;
  readonly dataFolder: string;
  readonly mayFound: boolean;
  readonly targetVoters: number;
  readonly replica: WorkflowReplica;
  readonly peers: LinkCaller;
  readonly clock: Clock;
  readonly seed: number;
  readonly logger: Logger;
  /** Registry of the gauges of the log. */
  readonly registry?: Registry;
  /** Measures the records that this VM proposes. */
  readonly records?: Pick<RecordLoadTask, 'watch'>;
  /**
   * Called with the term when this VM leads and has applied all earlier
   * entries, and with null when it no longer leads.
   */
  readonly onLeading: (term: number | null) => void;
  /** Called when the data folder fails; the process cannot continue. */
  readonly onFailure: (err: CellError) => void;
}

/** Interval of heartbeats between voters, in ms: several fit in an election timeout. */
const HEARTBEAT_MS = 120;
/** Minimum election timeout, in ms: longer than the pauses of a slowed VM. */
export const ELECTION_MS = 700;
/** Minimum time from a broken stream to the leader until a pre-vote, in ms. */
const QUICK_ELECTION_MS = HEARTBEAT_MS + 30;
/** Maximum number of waiting proposals. */
const MAX_PROPOSALS = 4096;
const REPAIR_INTERVAL_MS = 200;
const FOUND_PAUSE_MS = 100;
/** Time after which a cell is founded without the seeds that do not answer, in ms. */
const FOUND_WAIT_MS = 4000;

type Task = ConsensusTask<WorkflowCommand, WorkflowResult>;

/** Replicated log of a VM with a disk. */
export class ReplicatedLog implements LogAccess {
  private task: Task | null = null;
  private folder: NodeFolder | null = null;
  private identity: NodeId | null = null;
  private restored: RestoredState<WorkflowCommand> | null = null;
  private leadingTerm: number | null = null;
  private confirmingTerm: number | null = null;
  private isClosed = false;
  private readonly voterAnnouncements = new VoterAnnouncements();
  private readonly suspensions: SuspensionDetector;
  private readonly replication: ReplicationLog;

  constructor(private readonly options: ReplicatedLogOptions) {
    this.suspensions = new SuspensionDetector(options.clock);
    this.replication = new ReplicationLog(options);
  }

  /** Opens the data folder. */
  async open(): Promise<void> {
    const {dataFolder, vm, logger} = this.options;
    this.folder = await NodeFolder.open(dataFolder, {lock: 'none'});
    const cell = asId<CellId>(CLUSTER_NAME);
    const {node} = await openIdentity(this.folder, cell, vm);
    this.identity = node;
    this.restored = await restoreState<WorkflowCommand>(this.folder);
    logger.info(
      {
        change: 'folder_opened',
        node,
        hasState: this.hasState,
        entries: this.restored.entries.length,
        snapshot: this.restored.snapshot?.index ?? 0,
      },
      'data folder opened',
    );
  }

  /** Runs the log; with an empty data folder it first founds the cell or waits to be added. */
  async run(
    queryPeers: () => Promise<LinkHelloReply[]>,
    seeds: readonly VmId[],
  ): Promise<void> {
    if (!this.hasState) await this.foundIfAllowed(queryPeers, seeds);
    if (this.isClosed) return;
    this.startTask();
    if (this.task?.status.needsIndex) void this.requireReadIndex(queryPeers);
    while (!this.isClosed) {
      this.suspensions.checkClocks();
      await this.repair();
      if (this.task) this.report(this.task);
      await pause(this.options.clock, REPAIR_INTERVAL_MS);
    }
  }

  /** Transfers the leadership and closes the data folder. */
  async close(): Promise<void> {
    this.isClosed = true;
    this.task?.transferLeadership();
    await pause(this.options.clock, 50);
    this.setLeadingTerm(null);
    this.task?.stop();
    await this.folder?.close();
  }

  /** Identity of the data folder. */
  get node(): NodeId | null {
    return this.identity;
  }

  /** Whether the data folder holds a log. */
  get hasState(): boolean {
    if (this.task) return this.task.status.lastIndex > 0;
    return (
      this.restored !== null &&
      (this.restored.hardState.term > 0 || this.restored.snapshot !== null)
    );
  }

  get isLeading(): boolean {
    return this.leadingTerm !== null && this.task?.status.role === 'leader';
  }

  get leaderVm(): VmId | null {
    const leader = this.task?.status.leader;
    return leader ? vmOfNode(leader) : null;
  }

  /** VMs of the voters and learners. */
  get memberVms(): VmId[] {
    const members = this.task?.status.members;
    if (!members) return [];
    return [...members.voters, ...members.learners].map(vmOfNode);
  }

  /** Time since the last contact with the leader, or with a majority if this VM leads, in ms. */
  get contactAgeMs(): number {
    const {task} = this;
    if (!task?.status.isCurrent) return Number.POSITIVE_INFINITY;
    return this.suspensions.elapsedSince(task.status.lastContactAt);
  }

  /** Time since a majority last confirmed this VM's leadership, in ms. */
  get leadershipConfirmedAgeMs(): number {
    return this.suspensions.elapsedSince(
      this.task?.leadershipConfirmedAt ?? -Infinity,
    );
  }

  propose(command: WorkflowCommand): Promise<WorkflowResult> {
    if (this.task && this.leadingTerm !== null)
      return this.proposeMeasured(this.task, command);
    return Promise.reject(new CellError({code: 'not_leader', step: 'propose'}));
  }

  private proposeMeasured(
    task: Task,
    command: WorkflowCommand,
  ): Promise<WorkflowResult> {
    const {records} = this.options;
    return records
      ? records.watch(() => task.propose(command))
      : task.propose(command);
  }

  async readIndex(): Promise<number> {
    if (!this.task || this.leadingTerm === null)
      throw new CellError({code: 'not_leader', step: 'read-index'});
    return this.task.readIndex();
  }

  /** Handles messages of another VM; @returns the messages to send back to it. */
  async receive(
    from: VmId,
    envelopes: readonly unknown[],
  ): Promise<readonly unknown[]> {
    const own = (
      envelopes as ReadonlyArray<{readonly to?: unknown} | null>
    ).filter(envelope => envelope?.to === this.identity);
    return this.task ? this.task.receive(from, own) : [];
  }

  /** Records the hello of another VM. */
  recordHello(hello: LinkHello): void {
    this.voterAnnouncements.record(hello, this.options.clock.now());
  }

  /** Records that the stream from another VM broke. */
  recordPeerLoss(vm: VmId): void {
    this.task?.onPeerDisconnected(vm);
  }

  private async foundIfAllowed(
    queryPeers: () => Promise<LinkHelloReply[]>,
    seeds: readonly VmId[],
  ): Promise<void> {
    const {vm, zone, mayFound, clock, logger} = this.options;
    if (!mayFound || [...seeds].sort()[0] !== vm) return;
    const waitUntil = clock.now() + FOUND_WAIT_MS;
    while (!this.isClosed && this.folder) {
      const replies = await queryPeers();
      if (replies.some(({hasState}) => hasState)) return;
      const voters = chooseInitialVoters({
        own: {vm, zone, node: this.identity, hasState: false, mayFound},
        seeds,
        replies,
        isSeedWaitOver: clock.now() >= waitUntil,
      });
      if (voters) {
        const founded = initialVotersState<WorkflowCommand>(voters);
        await replaceState(this.folder, founded);
        this.restored = {...founded, logFileBytes: 0};
        logger.info({change: 'founded', voters}, 'founded the cell');
        return;
      }
      await pause(clock, FOUND_PAUSE_MS);
    }
  }

  /**
   * Makes the replica of a new data folder wait for a fresh read index, since
   * the folder does not record what was returned to clients before.
   */
  private async requireReadIndex(
    queryPeers: () => Promise<LinkHelloReply[]>,
  ): Promise<void> {
    const {peers, clock} = this.options;
    while (!this.isClosed) {
      const replies = await queryPeers();
      for (const {vm, isServing} of replies) {
        if (!isServing) continue;
        const reply = await peers
          .call(vm, 'readIndex', {})
          .catch(() => undefined);
        if (reply?.kind === 'ok') return this.task?.require(reply.value.index);
      }
      await pause(clock, FOUND_PAUSE_MS);
    }
  }

  private startTask(): void {
    const {replica, peers, clock, seed, logger, onFailure} = this.options;
    if (!this.folder || !this.identity || !this.restored) return;
    this.task = new ConsensusTask<WorkflowCommand, WorkflowResult>({
      node: this.identity,
      folder: this.folder,
      restored: this.restored,
      replica,
      peers,
      clock,
      seed,
      timing: {
        heartbeatMs: HEARTBEAT_MS,
        electionMs: ELECTION_MS,
        quickElectionMs: QUICK_ELECTION_MS,
      },
      maxProposals: MAX_PROPOSALS,
      onCompacted: compaction => this.replication.logCompaction(compaction),
      onMalformed: (from, count) => this.replication.logMalformed(from, count),
      onCallFailed: call => this.replication.logFailedCall(call),
      onFailure: err => {
        logger.error({change: 'log_failed', err: err.toBody()});
        onFailure(err);
      },
    });
    this.task.changes.subscribe(status => this.onStatus(status));
    this.task.start();
  }

  /** Reports the size of the log and, at the leader, its cost and the members behind it. */
  private report(task: Task): void {
    this.replication.noteSize(task.logSize);
    if (!this.isLeading) return;
    this.replication.reportWhenDue(() => ({
      cost: task.takeBatchCost(),
      lags: task.lags,
      size: task.logSize,
      confirmedMs: this.leadershipConfirmedAgeMs,
    }));
  }

  private onStatus({role, leader, term, members}: ConsensusStatus): void {
    const load =
      role !== 'leader' && this.leadingTerm !== null
        ? {load: this.task?.takeBatchCost()}
        : {};
    this.options.logger.info(
      {change: 'log', role, leader, term, members, ...load},
      'log status changed',
    );
    if (role !== 'leader') this.setLeadingTerm(null);
    else if (this.leadingTerm !== term) void this.confirmLeadership(term);
  }

  /** Starts leading once a read index proves that all earlier entries are applied. */
  private async confirmLeadership(term: number): Promise<void> {
    if (this.confirmingTerm === term) return;
    this.confirmingTerm = term;
    const {clock, replica} = this.options;
    while (this.isLeaderInTerm(term) && this.task) {
      const index = await this.task.readIndex().catch(() => undefined);
      if (
        index !== undefined &&
        replica.index >= index &&
        this.isLeaderInTerm(term)
      ) {
        this.setLeadingTerm(term);
        break;
      }
      await pause(clock, 10);
    }
    this.confirmingTerm = null;
  }

  private isLeaderInTerm(term: number): boolean {
    const status = this.task?.status;
    return !this.isClosed && status?.role === 'leader' && status.term === term;
  }

  private setLeadingTerm(term: number | null): void {
    if (this.leadingTerm === term) return;
    this.leadingTerm = term;
    if (term === null) this.replication.endLeadership();
    this.options.onLeading(term);
  }

  private async repair(): Promise<void> {
    const {task, identity} = this;
    if (!task || !identity || !this.isLeading) return;
    const {members} = task.status;
    const change = nextMembershipChange({
      members,
      own: identity,
      announced: this.voterAnnouncements.list(this.options.clock.now()),
      caughtUp: caughtUpNodes(members.learners, task.lags),
      targetVoters: this.options.targetVoters,
    });
    if (!change) return;
    this.options.logger.info(
      {decision: 'members', memberChange: change, members},
      'changing the members of the log',
    );
    try {
      await task.changeMembers(change);
    } catch (err) {
      const {code} = toCellError(err, 'repair');
      this.options.logger.info({change: 'repair_failed', code});
    }
  }
}
