import {
  nextMemberChange,
  nextMembershipChange,
  type MemberChange,
} from '@primrosewick/coordination';
import {
  asId,
  seededRandom,
  type CellCommand,
  type NodeId,
  type Profile,
  type ProfileName,
  type Random,
  type VmId,
  type ZoneId,
} from '@primrosewick/state';
import {EventQueue} from '../world/event_queue.js';
import {FakeNetwork, NO_FAULTS} from '../world/fake_network.js';
import {plainProfile} from '../world/profiles.js';
import {ConsensusOracle} from './oracle.js';
import {SimNode} from './sim_node.js';

const REPAIR_MS = 300;
const INDEX_QUERY_MS = 200;
const SETTLE_MS = 30_000;
/** Maximum number of entries that a learner may be behind when it is promoted. */
const MAX_PROMOTION_LAG_ENTRIES = 64;
/** Latest start of a VM after a loss of power, in ms. */
const MAX_DARK_MS = 1500;
/** Maximum time for a write to be accepted by a settled cell, in ms. */
const MAX_ACCEPT_MS = 2000;
/** Largest file of a log, in bytes: one bound of compaction, and what is not committed. */
const MAX_LOG_FILE_BYTES = 128 * 1024;
const NAMES = ['desk', 'curves'].map(name => asId<ProfileName>(name));

interface SentWrite {
  readonly name: ProfileName;
  readonly command: CellCommand;
}

/** Options of a simulated cell. */
export interface ConsensusSimOptions {
  /**
   * Number of voters that the leader keeps, whichever VMs they are on; null
   * for one on each VM.
   */
  readonly targetVoters?: number | null;
  /** Bytes of the largest message that arrives; others are lost, as their stream breaks. */
  readonly frameBytes?: number;
  /** Bytes of a part of a snapshot. */
  readonly chunkBytes?: number;
  /** Maximum length of a text in each write; its length varies. */
  readonly maxTextLength?: number;
}

/** The voters of a cell on virtual time, with a fake network and fake disks. */
export class ConsensusSim {
  readonly queue = new EventQueue();
  readonly oracle = new ConsensusOracle();
  readonly network: FakeNetwork;
  readonly nodes: SimNode[];
  private readonly random: Random;
  private readonly sent: SentWrite[] = [];
  private writes = 0;
  private readonly targetVoters: number | null;
  private readonly maxTextLength: number;

  constructor(
    seed: number,
    vms: number,
    {
      targetVoters = null,
      frameBytes = Number.POSITIVE_INFINITY,
      chunkBytes = 700,
      maxTextLength = 0,
    }: ConsensusSimOptions = {},
  ) {
    this.targetVoters = targetVoters;
    this.maxTextLength = maxTextLength;
    this.random = seededRandom(seed);
    this.network = new FakeNetwork(this.queue, this.random);
    const context = {
      queue: this.queue,
      network: this.network,
      random: this.random,
      oracle: this.oracle,
      frameBytes,
      chunkBytes,
      nodeAt: (id: NodeId) => this.nodes.find(node => node.id === id),
    };
    this.nodes = Array.from(
      {length: vms},
      (_none, i) => new SimNode(asId<VmId>(`v${i}`), context),
    );
    this.nodes.forEach((node, i) => (i === 0 ? node.found() : node.start()));
    this.scheduleRepair();
    this.scheduleIndexQueries();
    this.queue.advance(5000);
  }

  /** Advances virtual time. */
  advance(ms: number): void {
    this.queue.advance(ms);
  }

  /** Returns a node by number, modulo the number of nodes. */
  node(i: number): SimNode {
    return this.nodes[i % this.nodes.length]!;
  }

  /**
   * Writes a revision at a node, based on the one that the node shows, or on
   * the one before that if `isStale`.
   */
  write(at: number, name: number, isStale: boolean): void {
    const node = this.node(at);
    const profile = NAMES[name % NAMES.length]!;
    const shown =
      node.readableReplica?.state.getProfile(profile)?.revision ?? 0;
    const baseRevision = isStale ? Math.max(0, shown - 1) : shown;
    this.writes++;
    const requestId = `w${this.writes}`;
    const command: CellCommand = {
      at: this.queue.now,
      write: {author: requestId, requestId, firstSentAt: this.queue.now + 1},
      body: {
        kind: 'put_profile',
        baseRevision,
        profile: plainProfile(profile, this.drawText()),
      },
    };
    this.sent.push({name: profile, command});
    this.send(node, {name: profile, command});
  }

  /** Fields of a profile with a text of varying length. */
  private drawText(): Partial<Profile> {
    if (this.maxTextLength === 0) return {};
    const length = this.random.nextInt(1, this.maxTextLength);
    const {waiting} = plainProfile('');
    const classes = waiting.classes.map(each => ({
      ...each,
      name: 't'.repeat(length),
    }));
    return {waiting: {...waiting, classes}};
  }

  /** Resends an earlier write, through any node. */
  resend(at: number, which: number): void {
    const write = this.sent[which % Math.max(1, this.sent.length)];
    if (write) this.send(this.node(at), write);
  }

  /**
   * Whether the design tolerates the loss of a disk now: every voter of the
   * current members still has the disk that it voted with, all entries are
   * committed and the leader has had recent contact with a quorum.
   */
  canLoseDisk(at: number): boolean {
    const leader = this.leader();
    if (!leader?.status) return false;
    const {members, commitIndex, lastIndex} = leader.status;
    const ids = new Set(this.nodes.map(node => node.id));
    const haveTheirDisks =
      members.voters.length === this.voterCount &&
      members.voters.every(id => ids.has(id));
    const isCommitted = commitIndex === lastIndex;
    return (
      haveTheirDisks &&
      isCommitted &&
      this.hasRecentContact(leader) &&
      members.voters.includes(this.node(at).id)
    );
  }

  /**
   * Ends all faults, lets the cell settle and checks its leader, members,
   * replicas and accepted revisions.
   */
  settle(): void {
    this.network.heal();
    this.network.faults = NO_FAULTS;
    for (const node of this.nodes) {
      node.isDiskFailing = false;
      if (node.isFrozen) node.thaw();
      if (!node.isUp) node.start();
    }
    this.advance(SETTLE_MS);
    this.checkRecovered();
    for (const node of this.nodes) this.oracle.checkNoLostRevisions(node);
  }

  /**
   * Has a write accepted and, at that moment, cuts the power of all VMs; some
   * of those that hold the write return with empty disks.
   */
  losePowerAndDisks(disks: number): void {
    const leader = this.leader();
    if (!leader) throw new Error('there is no leader to write to');
    const {accepted} = this.oracle.counts;
    this.write(this.nodes.indexOf(leader), 0, false);
    const deadline = this.queue.now + MAX_ACCEPT_MS;
    while (this.oracle.counts.accepted === accepted) {
      if (this.queue.now >= deadline) throw new Error('no write was accepted');
      this.advance(1);
    }
    const lost = this.holdersOf(leader).slice(0, disks);
    for (const node of this.nodes)
      if (lost.includes(node)) node.loseDisk();
      else node.crash();
    for (const node of this.nodes)
      this.queue.after(this.random.nextInt(1, MAX_DARK_MS), () => node.start());
    this.advance(MAX_DARK_MS);
  }

  /** The voters that have all committed entries, the leader first. */
  private holdersOf(leader: SimNode): SimNode[] {
    const {commitIndex, matches, members} = leader.status!;
    const holders = matches
      .filter(
        ({node, index}) =>
          index >= commitIndex && members.voters.includes(node),
      )
      .map(({node}) => this.nodes.find(({id}) => id === node)!);
    return [leader, ...holders];
  }

  private get voterCount(): number {
    return this.targetVoters ?? this.nodes.length;
  }

  private checkRecovered(): void {
    const leader = this.leader();
    if (!leader?.status)
      throw new Error('there is no leader after the faults ended');
    if (leader.status.members.voters.length !== this.voterCount) {
      throw new Error(
        `the members were not repaired; the voters are ${leader.status.members.voters.join(' ')}`,
      );
    }
    const index = leader.status.commitIndex;
    for (const node of this.nodes) {
      if (node.logFileBytes > MAX_LOG_FILE_BYTES)
        throw new Error(`the log of ${node.vm} has ${node.logFileBytes} bytes`);
      if (node.readableReplica && node.readableReplica.index >= index) continue;
      throw new Error(
        `${node.vm} did not catch up: it is at index ${node.readableReplica?.index} of ${index}`,
      );
    }
  }

  private leader(): SimNode | undefined {
    const leaders = this.nodes.filter(node => node.status?.role === 'leader');
    return leaders.sort(
      (a, b) => (b.status?.term ?? 0) - (a.status?.term ?? 0),
    )[0];
  }

  private hasRecentContact(leader: SimNode): boolean {
    return this.queue.now - (leader.status?.lastContactAt ?? 0) < REPAIR_MS;
  }

  private send(node: SimNode, {name, command}: SentWrite): void {
    const requestId = command.write!.requestId;
    node.propose(command, result => {
      if (result) this.oracle.recordAnswer(name, requestId, result);
    });
  }

  /** Lets the leader repair the members periodically, as the daemon does. */
  private scheduleRepair(): void {
    this.queue.after(REPAIR_MS, () => {
      for (const node of this.nodes) this.repair(node);
      this.scheduleRepair();
    });
  }

  private repair(leader: SimNode): void {
    const {status} = leader;
    if (status?.role !== 'leader' || leader.isFrozen) return;
    const reachable = this.nodes.filter(
      node => node === leader || this.answers(leader, node),
    );
    const change = this.findChange(leader, reachable);
    if (change)
      leader.offer({
        kind: 'change_members',
        now: this.queue.now,
        token: -1,
        change,
      });
  }

  /** The next membership change, by the rule of the zones or of the cluster. */
  private findChange(
    leader: SimNode,
    reachable: readonly SimNode[],
  ): MemberChange | undefined {
    const {members, commitIndex, matches} = leader.status!;
    const learnersUpTo = (lag: number) =>
      new Set(
        matches
          .filter(({index}) => index >= commitIndex - lag)
          .map(({node}) => node),
      );
    if (this.targetVoters === null)
      return nextMemberChange({
        members,
        announced: reachable.map(({vm, id}) => ({vm, node: id})),
        caughtUp: learnersUpTo(0),
      });
    return nextMembershipChange({
      members,
      own: leader.id,
      announced: reachable.map(({vm, id}) => ({
        vm,
        node: id,
        zone: asId<ZoneId>('zone'),
        silentMs: 0,
      })),
      caughtUp: learnersUpTo(MAX_PROMOTION_LAG_ENTRIES),
      targetVoters: this.targetVoters,
    });
  }

  private answers(from: SimNode, to: SimNode): boolean {
    const isConnected =
      !this.network.isCut(from.vm, to.vm) &&
      !this.network.isCut(to.vm, from.vm);
    return to.isUp && !to.isFrozen && isConnected;
  }

  /**
   * Lets nodes with a new folder query the leader periodically for an index
   * that they must reach before they serve reads.
   */
  private scheduleIndexQueries(): void {
    this.queue.after(INDEX_QUERY_MS, () => {
      for (const node of this.nodes)
        if (node.status?.needsIndex) this.require(node);
      this.scheduleIndexQueries();
    });
  }

  private require(node: SimNode): void {
    const {id} = node;
    for (const leader of this.nodes) {
      if (
        leader === node ||
        leader.status?.role !== 'leader' ||
        !this.answers(node, leader)
      )
        continue;
      leader.read(index => {
        if (node.id === id)
          node.offer({kind: 'require', now: this.queue.now, index});
      });
    }
  }
}
