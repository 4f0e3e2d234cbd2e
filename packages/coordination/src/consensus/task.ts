/** Driver of the consensus core of one voter or learner. */
import {decode} from '@msgpack/msgpack';
import {Subject, type Subscription} from 'rxjs';
import {
  CellError,
  seededRandom,
  toCellError,
  vmOfNode,
  type VmId,
} from '@primrosewick/state';
import type {LogStatus} from '@primrosewick/protocol';
import {BatchLoad, type BatchCost} from './batch_load.js';
import {Compactor} from './compactor.js';
import {ConsensusCore, emptyState} from './core.js';
import {DiskGuard} from './disk_guard.js';
import {estimateBytes} from './entry_size.js';
import {isAppend, isAppendOnly, mayBeatDuring} from './early_send.js';
import {StateWriter} from './persistence.js';
import {InputBatcher} from './input_batcher.js';
import type {MemberLag} from './member_lag.js';
import {Outbox} from './outbox.js';
import {decodeEnvelope} from './envelope_check.js';
import type {PackedEnvelope} from './packing.js';
import {observeSync} from './observe_sync.js';
import {MAX_COMMAND_BYTES, type ConsensusTaskOptions} from './task_options.js';
import {Waiters} from './waiters.js';
import {WriteSchedule} from './write_schedule.js';
import type {
  ConsensusEffects,
  ConsensusStatus,
  Delivery,
  Envelope,
  LogSize,
  MemberChange,
  StorageWrite,
} from './types.js';

/**
 * Time for which heartbeats go out during one write, in ms; a disk that takes
 * longer has failed, and the followers should elect another leader.
 */
const MAX_BEAT_MS = 3000;
/** Bytes of proposals that wait for a write from which no more are taken. */
const MAX_QUEUED_BYTES = 16 * 1024 * 1024;
/** Longest interval between two ticks of the core, in ms. */
const MAX_TICK_MS = 100;

/** Drives the consensus core: one sync at a time, then its messages and deliveries. */
export class ConsensusTask<C, R> {
  /** Emits when the role or the leader changes. */
  readonly changes = new Subject<ConsensusStatus>();
  private readonly core: ConsensusCore<C>;
  private readonly writer: StateWriter;
  private readonly inputs: InputBatcher<C>;
  private readonly diskGuard = new DiskGuard();
  private readonly load = new BatchLoad();
  /** Monotonic time of the first input that waits for a batch, in ms. */
  private waitingSince: number | undefined;
  private readonly waiters = new Waiters<R>();
  private readonly outbox: Outbox<C>;
  private readonly schedule: WriteSchedule;
  private isRunning = false;
  /** Monotonic time until which heartbeats may be sent during a write, in ms. */
  private beatUntil = Number.NEGATIVE_INFINITY;
  private failure: CellError | null = null;
  private isNoticeScheduled = false;
  private readonly compactor: Compactor<C>;
  private timer: Subscription | undefined;
  private lastStatus: ConsensusStatus;

  constructor(private readonly options: ConsensusTaskOptions<C, R>) {
    const {node, folder, restored, seed, clock, timing, replica} = options;
    this.core = new ConsensusCore<C>({
      id: node,
      restored,
      random: seededRandom(seed),
      now: clock.now(),
      timing,
    });
    this.writer = new StateWriter(folder, restored.logFileBytes ?? 0);
    this.compactor = new Compactor({...options, core: this.core});
    this.inputs = new InputBatcher(this.core);
    this.schedule = new WriteSchedule(clock, () => void this.run());
    this.outbox = new Outbox({
      peers: options.peers,
      onReply: (vm, envelopes) =>
        this.enqueueMessages(this.decode(vm, envelopes)),
      onFailed: call => options.onCallFailed?.(call),
    });
    this.lastStatus = this.core.status;
    if (restored.snapshot) replica.restore(decode(restored.snapshot.data));
  }

  /** Starts the ticks of the core. */
  start(): void {
    const {clock} = this.options;
    this.timer = clock.every(this.tickMs).subscribe(() => this.tick());
  }

  /** Offers a tick; heartbeats do not wait with it for the end of a write. */
  private tick(): void {
    const now = this.options.clock.now();
    if (now < this.beatUntil) {
      const heartbeats = this.core.takeHeartbeats(now);
      this.outbox.send(heartbeats, []);
      this.noteSent(heartbeats);
    }
    this.offer({kind: 'tick', now});
  }

  /** Half a heartbeat interval, so that no heartbeat is late by more than that. */
  private get tickMs(): number {
    const {heartbeatMs = MAX_TICK_MS} = this.options.timing;
    return Math.min(MAX_TICK_MS, heartbeatMs / 2);
  }

  /** Stops the ticks and rejects all pending requests. */
  stop(): void {
    this.timer?.unsubscribe();
    this.waiters.rejectAll('stopping');
  }

  /** State of the core. */
  get status(): ConsensusStatus {
    return this.core.status;
  }

  /** Monotonic time at which a majority last confirmed the leadership, in ms. */
  get leadershipConfirmedAt(): number {
    return this.core.leadershipConfirmedAt;
  }

  /** State of the log, for operators. */
  get logStatus(): LogStatus {
    const {role, term, leader, commitIndex, lastIndex, members} =
      this.core.status;
    return {
      node: this.options.node,
      role,
      term,
      leader,
      commitIndex,
      lastIndex,
      voters: members.voters,
      learners: members.learners,
      failure: this.failure?.message ?? null,
    };
  }

  /** How far the other members are behind; empty unless this node leads. */
  get lags(): readonly MemberLag[] {
    return this.core.lags;
  }

  /** Size of the log in memory, and of the snapshot before it. */
  get logSize(): LogSize {
    return this.core.logSize;
  }

  /** Cost of the batches since the last call; null if there were none. */
  takeBatchCost(): BatchCost | null {
    return this.load.take();
  }

  /** VM of the last known leader, or null. */
  get leaderVm(): VmId | null {
    const {leader} = this.core.status;
    return leader && vmOfNode(leader);
  }

  /**
   * Handles messages of another VM.
   * @returns the messages to that VM that result from them, so that a heartbeat
   *   and its reply cost one call.
   */
  receive(
    from: VmId,
    envelopes: readonly unknown[],
  ): Promise<ReadonlyArray<PackedEnvelope<C>>> {
    const messages = this.failure ? [] : this.decode(from, envelopes);
    if (messages.length === 0) return Promise.resolve([]);
    return new Promise(resolve => {
      this.outbox.addCaller({vm: from, resolve});
      this.enqueueMessages(messages);
    });
  }

  /** Decodes the messages of another VM; malformed ones are reported and left out. */
  private decode(from: VmId, packed: readonly unknown[]): Array<Envelope<C>> {
    const decoded = packed.map(each => decodeEnvelope<C>(each));
    const messages = decoded.filter(envelope => envelope !== undefined);
    const malformed = decoded.length - messages.length;
    if (malformed > 0) this.options.onMalformed?.(from, malformed);
    return messages;
  }

  private enqueueMessages(envelopes: ReadonlyArray<Envelope<C>>): void {
    const now = this.options.clock.now();
    for (const envelope of envelopes)
      this.inputs.offer({kind: 'message', now, envelope});
    void this.run();
  }

  /**
   * Proposes a command.
   * @returns the result, once the command is committed and applied on this node.
   * @throws CellError `body_too_large`, `not_leader`, `log_overloaded`,
   *   `log_outcome_unknown` or `storage_failed`.
   */
  propose(command: C): Promise<R> {
    const bytes = estimateBytes(command);
    const fault = this.findProposalFault(bytes);
    if (fault) return Promise.reject(fault);
    const now = this.options.clock.now();
    return this.ask(token => ({
      kind: 'propose',
      now,
      token,
      command,
      bytes,
    })) as Promise<R>;
  }

  /** Error for a command of a size that is not taken, or not now. */
  private findProposalFault(bytes: number): CellError | undefined {
    if (bytes > MAX_COMMAND_BYTES)
      return new CellError({
        code: 'body_too_large',
        step: 'propose',
        detail: `a record of ${bytes} bytes exceeds ${MAX_COMMAND_BYTES}`,
      });
    const isFull =
      this.waiters.size >= this.options.maxProposals ||
      this.inputs.proposalBytes >= MAX_QUEUED_BYTES;
    return isFull
      ? new CellError({code: 'log_overloaded', step: 'propose'})
      : undefined;
  }

  /** Proposes a membership change. */
  async changeMembers(change: MemberChange): Promise<void> {
    const now = this.options.clock.now();
    await this.ask(token => ({kind: 'change_members', now, token, change}));
  }

  /** @returns the index that the state must reach for a read that starts now. */
  async readIndex(): Promise<number> {
    const now = this.options.clock.now();
    const answer = await this.ask(token => ({kind: 'read', now, token}));
    return (answer as {readonly index: number}).index;
  }

  /** Serves the replica of a node that started without a log once it has reached an index. */
  require(index: number): void {
    this.offer({kind: 'require', now: this.options.clock.now(), index});
  }

  /** Handles the loss of the connection from another VM. */
  onPeerDisconnected(vm: VmId): void {
    if (this.leaderVm === vm)
      this.offer({kind: 'leader_lost', now: this.options.clock.now()});
  }

  /** Transfers the leadership to another voter. */
  transferLeadership(): void {
    this.schedule.holdForTransfer();
    this.offer({kind: 'transfer', now: this.options.clock.now()});
  }

  private ask(
    makeInput: (token: number) => Parameters<InputBatcher<C>['offer']>[0],
  ): Promise<R | {readonly index: number}> {
    if (this.failure) return Promise.reject(this.failure);
    return new Promise((resolve, reject) => {
      this.offer(makeInput(this.waiters.add({resolve, reject})));
    });
  }

  private offer(input: Parameters<InputBatcher<C>['offer']>[0]): void {
    this.inputs.offer(input);
    void this.run();
  }

  private async run(): Promise<void> {
    this.waitingSince ??= this.options.clock.now();
    if (this.isRunning || this.failure) return;
    this.isRunning = true;
    try {
      while (this.inputs.hasOthers || this.mayRunProposals()) {
        const effects = this.inputs.hasOthers
          ? this.inputs.runOthers()
          : this.inputs.runProposals();
        await this.process(effects);
      }
    } catch (err) {
      this.fail(toCellError(err, 'persist'));
    } finally {
      this.isRunning = false;
    }
  }

  /** Whether there are proposals to step; those of a leader wait for its next write. */
  private mayRunProposals(): boolean {
    if (!this.inputs.hasProposals) return false;
    return !this.core.isLeader || this.schedule.mayWrite();
  }

  private async process({
    writes,
    messages,
    deliveries,
    answers,
  }: ConsensusEffects<C>): Promise<void> {
    const callers = this.outbox.takeCallers();
    this.noteBatch();
    const isEarly = isAppendOnly(writes);
    this.outbox.send(
      messages.filter(sent => isEarly && isAppend(sent)),
      [],
    );
    if (isEarly) this.noteSent(messages);
    if (writes.length > 0) await this.persist(writes);
    this.outbox.send(
      messages.filter(sent => !isEarly || !isAppend(sent)),
      callers,
    );
    if (!isEarly) this.noteSent(messages);
    for (const answer of answers) this.waiters.answer(answer);
    for (const delivery of deliveries) this.deliver(delivery);
    this.updateStatus();
    this.scheduleCommitNotice();
    if (deliveries.length > 0) this.compactIfDue();
  }

  private noteBatch(): void {
    const now = this.options.clock.now();
    this.load.noteBatch(now - (this.waitingSince ?? now));
    this.waitingSince = undefined;
  }

  private noteSent(messages: ReadonlyArray<Envelope<C>>): void {
    if (messages.some(isAppend)) this.load.noteSent(this.options.clock.now());
  }

  /** Schedules a tick for the next commit notice, independent of the tick interval. */
  private scheduleCommitNotice(): void {
    const {commitNoticeAt} = this.lastStatus;
    if (!Number.isFinite(commitNoticeAt) || this.isNoticeScheduled) return;
    const {clock} = this.options;
    this.isNoticeScheduled = true;
    clock.after(Math.max(0, commitNoticeAt - clock.now())).subscribe(() => {
      this.isNoticeScheduled = false;
      this.offer({kind: 'tick', now: clock.now()});
    });
  }

  private async persist(writes: ReadonlyArray<StorageWrite<C>>): Promise<void> {
    const {clock} = this.options;
    const startedAt = clock.now();
    const endSync = observeSync(clock);
    // The image is taken now, as inputs that arrive during the write must not be
    // in it, and only for a snapshot, as it is costly.
    const image = writes.some(({kind}) => kind === 'snapshot')
      ? this.core.durable
      : emptyState<C>();
    if (mayBeatDuring(writes)) this.beatUntil = startedAt + MAX_BEAT_MS;
    await this.writer.persist(writes, () => image);
    this.beatUntil = Number.NEGATIVE_INFINITY;
    const now = clock.now();
    this.schedule.noteWrite(startedAt);
    this.load.noteWrite(now - startedAt);
    this.compactor.noteWritten(image.snapshot?.index, now - startedAt);
    const isSlow = this.diskGuard.recordSync(endSync(now), now);
    if (isSlow && this.core.status.role === 'leader') this.transferLeadership();
  }

  private deliver(delivery: Delivery<C>): void {
    const {replica} = this.options;
    if (delivery.kind === 'snapshot') {
      replica.restore(decode(delivery.snapshot.data));
      return this.waiters.rejectUpTo(delivery.snapshot.index);
    }
    const {entry} = delivery;
    const command =
      entry.body.kind === 'command' ? entry.body.command : undefined;
    const result = replica.apply(
      command ? {index: entry.index, command} : {index: entry.index},
    );
    this.waiters.settleEntry(entry, result);
  }

  private updateStatus(): void {
    const status = this.core.status;
    const {clock, replica} = this.options;
    if (status.isCurrent && replica.index >= status.commitIndex) replica.open();
    replica.noteFresh(Math.min(status.lastContactAt, clock.now()));
    const before = this.lastStatus;
    const isChanged =
      status.role !== before.role ||
      status.leader !== before.leader ||
      status.members !== before.members;
    this.lastStatus = status;
    if (status.role !== 'leader' && before.role === 'leader') {
      this.load.forgetSilence();
      this.waiters.rejectAll('log_outcome_unknown');
    }
    if (isChanged) this.changes.next(status);
  }

  private compactIfDue(): void {
    const input = this.compactor.compactIfDue(this.writer.logFileBytes);
    if (input) this.inputs.offer(input);
  }

  private fail(err: CellError): void {
    this.failure = err;
    this.outbox.close();
    this.timer?.unsubscribe();
    this.waiters.rejectAll('storage_failed');
    this.options.onFailure(err);
  }
}
