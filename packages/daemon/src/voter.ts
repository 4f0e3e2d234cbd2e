/**
 * Voter of a VM with a disk: opens the data folder, founds or joins the
 * cell, and repairs its membership.
 */
import type Logger from 'bunyan';
import {
  ConsensusTask,
  queryIdentities,
  singleVoterState,
  mayFound,
  openIdentity,
  repairMembers,
  replaceState,
  restoreState,
  type PackedEnvelope,
  type FolderIdentity,
  type ReplicaTask,
  type DurableState,
} from '@primrosewick/coordination';
import {
  voterVms,
  type LeaderReply,
  type Settings,
} from '@primrosewick/protocol';
import {
  CellError,
  NodeFolder,
  toCellError,
  type CellCommand,
  type CellResult,
  type NodeId,
  type VmId,
} from '@primrosewick/state';
import {
  sleep,
  type Clock,
  type Metrics,
  type PeerCaller,
} from '@primrosewick/transport';

/** Options of {@link Voter}. */
export interface VoterOptions {
  readonly settings: Settings;
  readonly dataFolder: string;
  readonly boot: string;
  readonly replica: ReplicaTask;
  readonly peers: PeerCaller;
  readonly clock: Clock;
  readonly seed: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const FOUND_PAUSE_MS = 300;
const REPAIR_INTERVAL_MS = 1000;

/** Voter of a VM with a disk. */
export class Voter {
  private consensus: ConsensusTask<CellCommand, CellResult> | null = null;
  private folder: NodeFolder | null = null;
  private identity: FolderIdentity | null = null;
  private restored: DurableState<CellCommand> | null = null;
  private isClosed = false;

  constructor(private readonly options: VoterOptions) {}

  /**
   * Opens the data folder.
   * @throws CellError `folder_locked`, `storage_damaged`, `storage_failed` or `wrong_cell`.
   */
  async open(): Promise<void> {
    const {settings, dataFolder} = this.options;
    this.folder = await NodeFolder.open(dataFolder);
    this.identity = await openIdentity(this.folder, settings.cell, settings.vm);
    this.restored = await restoreState<CellCommand>(this.folder);
  }

  /**
   * Runs the voter; with an empty data folder it first founds the cell or
   * waits to be added.
   */
  async run(): Promise<void> {
    if (!this.hasState) await this.foundIfAllowed();
    this.startConsensus();
    if (this.consensus?.status.needsIndex) void this.requireReadIndex();
    while (!this.isClosed) {
      await this.repair();
      await sleep(REPAIR_INTERVAL_MS);
    }
  }

  /** Transfers the leadership and closes the data folder. */
  async close(): Promise<void> {
    this.isClosed = true;
    this.consensus?.transferLeadership();
    await sleep(50);
    this.consensus?.stop();
    await this.folder?.close();
  }

  /** The consensus task, once it has started. */
  get task(): ConsensusTask<CellCommand, CellResult> | null {
    return this.consensus;
  }

  /** Identity of the data folder. */
  get node(): NodeId | null {
    return this.identity?.node ?? null;
  }

  /** Whether the data folder holds a log. */
  get hasState(): boolean {
    return (
      this.restored !== null &&
      (this.restored.hardState.term > 0 || this.restored.snapshot !== null)
    );
  }

  /** Last known leader of the log. */
  get leaderVm(): VmId | null {
    return this.consensus?.leaderVm ?? null;
  }

  /** Proposes a command at this voter. */
  readonly propose = (command: CellCommand): Promise<CellResult> => {
    if (this.consensus) return this.consensus.propose(command);
    return Promise.reject(new CellError({code: 'not_leader', step: 'propose'}));
  };

  /** Handles messages of another VM; @returns the messages to send back to it. */
  async receive(
    from: VmId,
    envelopes: readonly unknown[],
  ): Promise<readonly unknown[]> {
    const own = envelopes as ReadonlyArray<PackedEnvelope<CellCommand>>;
    const meant = own.filter(({to}) => to === this.node);
    for (let i = meant.length; i < own.length; i++)
      this.options.metrics.addDrop('wrong_identity');
    return this.consensus ? this.consensus.receive(from, meant) : [];
  }

  /** Index that a current read must have reached, if this voter leads. */
  async readIndex(): Promise<LeaderReply<{readonly index: number}>> {
    try {
      if (this.consensus)
        return {kind: 'ok', value: {index: await this.consensus.readIndex()}};
    } catch {
      // The read index could not be confirmed: another voter may lead.
    }
    return {kind: 'not_leader', leader: this.leaderVm};
  }

  private async foundIfAllowed(): Promise<void> {
    const {settings, peers, boot, logger} = this.options;
    const voters = voterVms(settings).map(({vm}) => vm);
    const others = settings.vms
      .map(({vm}) => vm)
      .filter(vm => vm !== settings.vm);
    if (voters[0] !== settings.vm) return;
    while (!this.isClosed) {
      const replies = await queryIdentities(peers, others, boot);
      if (replies.some(reply => reply.hasState)) return;
      if (mayFound({vm: settings.vm, voterVms: voters, replies})) break;
      await sleep(FOUND_PAUSE_MS);
    }
    if (this.isClosed || !this.folder || !this.node) return;
    this.restored = singleVoterState<CellCommand>(this.node);
    await replaceState(this.folder, this.restored);
    logger.info({change: 'founded', node: this.node}, 'founded the cell');
  }

  /**
   * Makes the replica of a new data folder wait for a fresh read index, since
   * the folder does not record what was returned to clients before.
   */
  private async requireReadIndex(): Promise<void> {
    const {settings, peers, boot} = this.options;
    const others = voterVms(settings).filter(({vm}) => vm !== settings.vm);
    while (!this.isClosed) {
      for (const {vm} of others) {
        const reply = await peers
          .call(vm, 'readIndex', {boot})
          .catch(() => undefined);
        if (reply?.kind === 'ok')
          return this.consensus?.require(reply.value.index);
      }
      await sleep(FOUND_PAUSE_MS);
    }
  }

  private startConsensus(): void {
    const {replica, peers, clock, settings, seed, logger, metrics} =
      this.options;
    if (!this.folder || !this.node || !this.restored || this.isClosed) return;
    const {heartbeatMs, electionMs} = settings.timing;
    this.consensus = new ConsensusTask({
      node: this.node,
      folder: this.folder,
      restored: this.restored,
      replica,
      peers,
      clock,
      seed,
      timing: {heartbeatMs, electionMs},
      maxProposals: settings.limits.proposals,
      onFailure: err => {
        metrics.addRefusal(err.code, err.step);
        logger.error(
          {change: 'log_failed', err: err.toBody()},
          'the voter has stopped',
        );
      },
    });
    this.consensus.changes.subscribe(({role, leader, term, members}) => {
      metrics.addChange(`log_${role}`);
      logger.info(
        {change: 'log', role, leader, term, members},
        'log status changed',
      );
    });
    this.consensus.start();
  }

  private async repair(): Promise<void> {
    const {settings, peers, boot, metrics} = this.options;
    if (!this.consensus || !this.node) return;
    const own = {vm: settings.vm, node: this.node};
    const voters = voterVms(settings).map(({vm}) => vm);
    try {
      const isChanged = await repairMembers({
        task: this.consensus,
        own,
        voterVms: voters,
        peers,
        boot,
      });
      if (isChanged) metrics.addChange('members');
    } catch (err) {
      metrics.addRefusal(toCellError(err, 'repair').code, 'repair');
    }
  }
}
