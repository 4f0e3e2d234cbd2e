import {decode, encode} from '@msgpack/msgpack';
import {
  ConsensusCore,
  InputBatcher,
  mayBeatDuring,
  Replica,
  emptyState,
  singleVoterState,
  planWrites,
  restoreFiles,
  isCompactionDue,
  type CompactableLog,
  type CompactionLimits,
  type ConsensusEffects,
  type ConsensusInput,
  type Delivery,
  type Envelope,
  type FileWrite,
  type DurableState,
} from '@primrosewick/coordination';
import {
  makeNodeId,
  seededRandom,
  type CellCommand,
  type CellImage,
  type CellResult,
  type NodeId,
  type Random,
  type VmId,
} from '@primrosewick/state';
import type {EventQueue} from '../world/event_queue.js';
import {FakeDisk} from '../world/fake_disk.js';
import type {FakeNetwork} from '../world/fake_network.js';
import type {ConsensusOracle} from './oracle.js';

/** Dependencies that all nodes share. */
export interface SimContext {
  readonly queue: EventQueue;
  readonly network: FakeNetwork;
  readonly random: Random;
  readonly oracle: ConsensusOracle;
  readonly nodeAt: (node: NodeId) => SimNode | undefined;
  /** Bytes of the largest message that arrives. */
  readonly frameBytes: number;
  /** Bytes of a part of a snapshot. */
  readonly chunkBytes: number;
}

const TICK_MS = 50;
const MAX_SYNC_MS = 40;
/** Sizes from which a log is compacted; a lagging member puts nothing off. */
const COMPACTION: CompactionLimits = {
  entries: 25,
  maxEntries: 25,
  bytes: 64 * 1024,
  maxBytes: 64 * 1024,
  maxTransferBytes: 256 * 1024,
};
/** Bytes of entries in one message; a larger entry goes alone. */
const MESSAGE_BYTES = 8 * 1024;

/** One VM with a disk, which drives the consensus core on virtual time. */
export class SimNode {
  private core: ConsensusCore<CellCommand> | null = null;
  private batcher: InputBatcher<CellCommand> | null = null;
  private disk: FakeDisk;
  private replica = new Replica();
  private identityCount = 0;
  private life = 0;
  private isBusy = false;
  /** Whether the write under way lets heartbeats out. */
  private mayBeat = false;
  private readonly waiting = new Map<
    number,
    {term: number; done: (result: CellResult | undefined) => void}
  >();
  private readonly tokens = new Map<
    number,
    (result: CellResult | undefined) => void
  >();
  private readonly reads = new Map<number, (index: number) => void>();
  private nextToken = 1;
  id: NodeId;
  isFrozen = false;

  constructor(
    readonly vm: VmId,
    private readonly context: SimContext,
  ) {
    this.disk = new FakeDisk(context.random);
    this.id = this.newId();
  }

  /** Whether the process runs. */
  get isUp(): boolean {
    return this.core !== null;
  }

  /** Whether writes to the disk fail. */
  set isDiskFailing(isFailing: boolean) {
    this.disk.isFailing = isFailing;
  }

  /** Bytes of the file of its log. */
  get logFileBytes(): number {
    return this.disk.read('log')?.length ?? 0;
  }

  /** Status of the core; undefined while the process is down. */
  get status() {
    return this.core?.status;
  }

  /** The replica of the cell state; undefined while it may not serve reads. */
  get readableReplica(): Replica | undefined {
    return this.core?.status.isCurrent ? this.replica : undefined;
  }

  /** Bootstraps the cell with this node as its only voter. */
  found(): void {
    this.boot(singleVoterState<CellCommand>(this.id));
    const writes = planWrites<CellCommand>(
      [
        {
          kind: 'append',
          entries: singleVoterState<CellCommand>(this.id).entries,
        },
      ],
      emptyState,
    );
    for (const write of writes) {
      this.disk.begin(write);
      this.disk.sync();
    }
  }

  /** Starts the process from the files on its disk. */
  start(): void {
    if (this.core) return;
    const {restored, truncateLogTo} = restoreFiles<CellCommand>({
      snapshot: this.disk.read('snapshot'),
      log: this.disk.read('log'),
    });
    if (truncateLogTo !== undefined) this.disk.truncate('log', truncateLogTo);
    this.boot(restored);
  }

  /** Kills the process; an unsynced write may be lost. */
  crash(): void {
    this.life++;
    this.core = null;
    this.batcher = null;
    this.isBusy = false;
    this.isFrozen = false;
    this.disk.crash();
    for (const done of [
      ...this.tokens.values(),
      ...[...this.waiting.values()].map(waiter => waiter.done),
    ])
      done(undefined);
    this.tokens.clear();
    this.waiting.clear();
    this.reads.clear();
  }

  /** Crashes and loses the disk; the next start uses a new identity. */
  loseDisk(): void {
    this.crash();
    this.disk = new FakeDisk(this.context.random);
    this.id = this.newId();
  }

  /** Resumes after a freeze. */
  thaw(): void {
    this.isFrozen = false;
    this.run();
  }

  /** Handles a message from another node. */
  receive(envelope: Envelope<CellCommand>): void {
    this.offer({kind: 'message', now: this.context.queue.now, envelope});
  }

  /**
   * Proposes a command; `done` gets its result, or undefined if that is
   * unknown.
   */
  propose(
    command: CellCommand,
    done: (result: CellResult | undefined) => void,
  ): void {
    if (!this.core) return done(undefined);
    const token = this.nextToken++;
    this.tokens.set(token, done);
    this.offer({kind: 'propose', now: this.context.queue.now, token, command});
  }

  /** Passes an input to the core. */
  offer(input: ConsensusInput<CellCommand>): void {
    if (!this.batcher) return;
    this.batcher.offer(input);
    this.run();
  }

  /** Requests the index that a read must have reached. */
  read(done: (index: number) => void): void {
    const token = this.nextToken++;
    this.reads.set(token, done);
    this.offer({kind: 'read', now: this.context.queue.now, token});
  }

  private newId(): NodeId {
    this.identityCount++;
    return makeNodeId(this.vm, `b${this.identityCount}`);
  }

  private boot(restored: DurableState<CellCommand>): void {
    const {queue, random} = this.context;
    this.core = new ConsensusCore<CellCommand>({
      id: this.id,
      restored,
      random: seededRandom(random.nextInt(1, 1 << 30)),
      now: queue.now,
      timing: {
        heartbeatMs: 100,
        electionMs: 400,
        quickElectionMs: 120,
        maxEntriesPerMessage: 8,
        chunkBytes: this.context.chunkBytes,
        maxInFlight: 32,
        maxBytesPerMessage: MESSAGE_BYTES,
        maxInFlightBytes: 4 * MESSAGE_BYTES,
      },
    });
    this.batcher = new InputBatcher(this.core);
    this.replica = new Replica();
    if (restored.snapshot)
      this.replica.restore(decode(restored.snapshot.data) as CellImage);
    this.life++;
    this.scheduleTick(this.life);
  }

  private scheduleTick(incarnation: number): void {
    this.context.queue.after(TICK_MS, () => {
      if (incarnation !== this.life) return;
      this.sendHeartbeats();
      this.offer({kind: 'tick', now: this.context.queue.now});
      this.scheduleTick(incarnation);
    });
  }

  /** Sends the heartbeats that do not wait for the write under way. */
  private sendHeartbeats(): void {
    if (!this.isBusy || !this.mayBeat || this.isFrozen || !this.core) return;
    const messages = this.core.takeHeartbeats(this.context.queue.now);
    for (const envelope of messages) this.sendOut(envelope);
  }

  private run(): void {
    const {batcher} = this;
    if (this.isBusy || this.isFrozen || !batcher) return;
    if (!batcher.hasOthers && !batcher.hasProposals) return;
    const effects = batcher.hasOthers
      ? batcher.runOthers()
      : batcher.runProposals();
    if (effects.writes.length === 0) return this.finish(effects);
    if (this.disk.isFailing) return this.crash();
    this.isBusy = true;
    this.mayBeat = mayBeatDuring(effects.writes);
    const image = this.core!.durable;
    this.persist(
      planWrites(effects.writes, () => image),
      effects,
      this.life,
    );
  }

  /** Syncs the writes one after another, each after a random delay. */
  private persist(
    writes: readonly FileWrite[],
    effects: ConsensusEffects<CellCommand>,
    incarnation: number,
  ): void {
    const [write, ...rest] = writes;
    if (!write) {
      this.isBusy = false;
      return this.finish(effects);
    }
    this.disk.begin(write);
    this.context.queue.after(
      this.context.random.nextInt(1, MAX_SYNC_MS),
      () => {
        if (incarnation !== this.life) return;
        this.disk.sync();
        this.persist(rest, effects, incarnation);
      },
    );
  }

  private finish({
    messages,
    answers,
    deliveries,
  }: ConsensusEffects<CellCommand>): void {
    for (const envelope of messages) this.sendOut(envelope);
    for (const answer of answers) {
      const done = this.tokens.get(answer.token);
      this.tokens.delete(answer.token);
      if (answer.kind === 'appended' && done)
        this.waiting.set(answer.index, {term: answer.term, done});
      else if (answer.kind === 'read_ready')
        this.reads.get(answer.token)?.(answer.index);
      else done?.(undefined);
    }
    for (const delivery of deliveries) this.deliver(delivery);
    this.context.oracle.observe(this);
    if (deliveries.length > 0) this.compactIfLong();
    this.run();
  }

  private sendOut(envelope: Envelope<CellCommand>): void {
    const target = this.context.nodeAt(envelope.to);
    if (!target) return;
    if (encode(envelope).length > this.context.frameBytes) return;
    this.context.network.send(this.vm, target.vm, () =>
      this.context.nodeAt(envelope.to)?.receive(envelope),
    );
  }

  private deliver(delivery: Delivery<CellCommand>): void {
    if (delivery.kind === 'snapshot') {
      this.replica.restore(decode(delivery.snapshot.data) as CellImage);
      return;
    }
    const {entry} = delivery;
    this.context.oracle.recordCommitted(this.id, entry);
    const command =
      entry.body.kind === 'command' ? entry.body.command : undefined;
    const result = this.replica.apply(
      command ? {index: entry.index, command} : {index: entry.index},
    );
    const waiter = this.waiting.get(entry.index);
    this.waiting.delete(entry.index);
    waiter?.done(waiter.term === entry.term ? result : undefined);
  }

  private get compactable(): CompactableLog {
    return {...this.core!.compactable, fileBytes: this.logFileBytes};
  }

  private compactIfLong(): void {
    if (!isCompactionDue(this.compactable, COMPACTION)) return;
    const image = this.replica.state.toImage();
    this.batcher?.offer({
      kind: 'compact',
      now: this.context.queue.now,
      index: image.index,
      data: encode(image, {ignoreUndefined: true}),
    });
  }
}
