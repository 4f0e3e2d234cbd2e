/**
 * Routes clients' requests: reads to a nearby replica of the log, to one that
 * confirms its answer with the leader where the first is not sure, and to the
 * leader last; all else to the leader.
 */
import {
  isFinal,
  mayNameWorkflow,
  type GatewayTask,
  type ReplicaReader,
} from '@primrosewick/coordination';
import type {
  LinkMethods,
  QueueAddress,
  WorkflowReply,
  WorkflowRequest,
} from '@primrosewick/protocol';
import {toCellError, type CellError, type VmId} from '@primrosewick/state';
import type {Clock, LinkCaller, StallWatch} from '@primrosewick/transport';
import type Logger from 'bunyan';
import type {ConfirmedReads} from './confirmed_reads.js';
import {CountOrder} from './count_order.js';
import type {ReadLog, ReadRoute} from './read_log.js';

/** Options of {@link WorkflowRequestRouter}. */
export interface WorkflowRequestRouterOptions {
  readonly gateway: GatewayTask;
  readonly peers: LinkCaller;
  readonly clock: Clock;
  readonly logger: Logger;
  /** The replica of this VM, if it has one. */
  readonly reader: ReplicaReader | null;
  readonly confirmed: ConfirmedReads;
  readonly reads: ReadLog;
  /** Tells whether this VM has just stood still. */
  readonly stalls: Pick<StallWatch, 'readPending'>;
}

/** Answer of a replica, or the reason for which the leader is asked. */
interface ReplicaAnswer {
  readonly way: ReadRoute;
  readonly peer: VmId | null;
  readonly reply?: WorkflowReply;
  /** Time for which the replica waited for the end of the workflow, in ms. */
  readonly blockedMs?: number;
}

/** For how long a client's request is waited for. */
export interface RequestTerms {
  /** Monotonic time until which the client waits, in ms. */
  readonly deadline: number;
  /** Aborted when the client has gone. */
  readonly signal?: AbortSignal;
}

type Submission = Extract<WorkflowRequest, {kind: 'submit'}>;

/** Terms of a read that may wait for an end; the signal tells it not to. */
type BlockingTerms = Required<RequestTerms>;

/** Time for which reads of a workflow cancelled here go to the leader, in ms. */
const CANCELLED_LEADER_READ_MS = 2000;
/** Maximum time to wait for a replica, in ms. */
const MAX_REPLICA_WAIT_MS = 300;
/**
 * Fraction of the remaining time that a replica may take, so that the leader
 * can still be asked.
 */
const REPLICA_TIME_FRACTION = 0.5;
/** Maximum time for which a read of a running workflow waits for its end, in ms. */
const MAX_END_WAIT_MS = 500;
/**
 * Fraction of the remaining time that replicas may take to confirm their answer
 * with the leader, so that the leader can still be asked.
 */
const CONFIRMED_TIME_FRACTION = 0.7;
/** Maximum number of remembered cancellations. */
const MAX_CANCELLED = 2000;

/** Routes the requests of one VM's clients. */
export class WorkflowRequestRouter {
  /** Monotonic time until which a replica may lack a cancellation made here, by path, in ms. */
  private readonly cancelledUntil = new Map<string, number>();
  /** Reads that may wait for the end of their workflow. */
  private readonly blocking = new Set<AbortController>();
  private readonly counts: CountOrder;
  private isDraining = false;

  constructor(private readonly options: WorkflowRequestRouterOptions) {
    const {clock, reads} = options;
    this.counts = new CountOrder({
      clock,
      onHeld: held => reads.recordHeld(held),
    });
  }

  /**
   * Routes a request.
   * @throws CellError from the leader, or from the calls to it.
   */
  async request(
    request: WorkflowRequest,
    terms: RequestTerms,
  ): Promise<WorkflowReply> {
    if (request.kind === 'get')
      return mayNameWorkflow(request.path)
        ? this.read(request, terms)
        : this.count(request, terms);
    if (request.kind === 'submit') return this.submit(request, terms);
    this.rememberCancellation(request);
    return this.options.gateway.callLeader('workflow', request, terms.deadline);
  }

  /**
   * Submits a workflow, unless its client has gone: it may have been told elsewhere
   * that the workflow was refused. A request that was read after this VM stood still
   * may be followed by the end of its connection, which is read first.
   * @throws CellError `client_gone`, or from the calls to the leader.
   */
  private async submit(
    request: Submission,
    {deadline, signal}: RequestTerms,
  ): Promise<WorkflowReply> {
    const {gateway, stalls} = this.options;
    await stalls.readPending();
    return gateway.callLeader('workflow', request, deadline, signal);
  }

  /** Lets no read wait for the end of its workflow any longer. */
  beginDrain(): void {
    this.isDraining = true;
    for (const controller of this.blocking) controller.abort();
  }

  /** Answers what shows the bundle no earlier than the counts before it. */
  private count(
    request: Extract<WorkflowRequest, {kind: 'get'}>,
    terms: RequestTerms,
  ): Promise<WorkflowReply> {
    const {deadline} = terms;
    return this.counts.answer({
      read: () => this.read(request, terms),
      readCurrent: () => this.readCurrent(request, deadline),
      deadline,
    });
  }

  /** Reads a state that is no older than the call. */
  private async readCurrent(
    request: Extract<WorkflowRequest, {kind: 'get'}>,
    deadline: number,
  ): Promise<WorkflowReply> {
    return (
      (await this.confirm(request, deadline)) ??
      this.options.gateway.callLeader('workflow', request, deadline)
    );
  }

  private async read(
    request: Extract<WorkflowRequest, {kind: 'get'}>,
    {deadline, signal}: RequestTerms,
  ): Promise<WorkflowReply> {
    const {gateway, clock, reads} = this.options;
    const startedAt = clock.now();
    const answered = await this.whileBlocking(signal, release =>
      this.readReplica(request, {deadline, signal: release}),
    );
    const {reply, way, peer, blockedMs = 0} = answered;
    const copyMs = clock.now() - startedAt - blockedMs;
    let isConfirmed = false;
    const recordRead = (err?: CellError): void => {
      const endedAt = clock.now();
      const waitMs = endedAt - startedAt - blockedMs;
      const {path} = request;
      reads.record({
        path,
        way,
        peer,
        endedAt,
        waitMs,
        copyMs,
        blockedMs,
        isConfirmed,
        ...(err && {err}),
      });
    };
    try {
      const confirmed = reply ?? (await this.confirm(request, deadline));
      isConfirmed = !reply && confirmed !== undefined;
      const answer =
        confirmed ?? (await gateway.callLeader('workflow', request, deadline));
      recordRead();
      return answer;
    } catch (thrown) {
      recordRead(toCellError(thrown, 'read'));
      throw thrown;
    }
  }

  /** Runs a read with a signal for the end of its wait: its client goes, or this VM drains. */
  private async whileBlocking<T>(
    signal: AbortSignal | undefined,
    read: (release: AbortSignal) => Promise<T>,
  ): Promise<T> {
    const controller = new AbortController();
    const abort = (): void => controller.abort();
    signal?.addEventListener('abort', abort);
    if (signal?.aborted) abort();
    this.blocking.add(controller);
    try {
      return await read(controller.signal);
    } finally {
      this.blocking.delete(controller);
      signal?.removeEventListener('abort', abort);
    }
  }

  /** Reads a replica that first reaches a read index of the leader. */
  private confirm(
    request: QueueAddress,
    deadline: number,
  ): Promise<WorkflowReply | undefined> {
    const {clock, confirmed} = this.options;
    const leftMs = deadline - clock.now();
    const until = clock.now() + leftMs * CONFIRMED_TIME_FRACTION;
    return confirmed.read(addressOf(request), until);
  }

  private async readReplica(
    request: QueueAddress,
    terms: BlockingTerms,
  ): Promise<ReplicaAnswer> {
    const {gateway, clock, reader} = this.options;
    const address = addressOf(request);
    if (clock.now() < (this.cancelledUntil.get(address.path) ?? 0))
      return {way: 'cancelled_here', peer: null};
    const hasKey = address.credential !== undefined;
    if (reader && !hasKey) return this.readOwn(reader, address, terms);
    // The age of a replica is known only by the indexes that the leader reports.
    if (!gateway.hasContact) return {way: 'no_contact', peer: null};
    if (reader) return this.readOwn(reader, address, terms);
    const peer = gateway.replicaVm;
    if (peer === null) return {way: 'no_reader', peer};
    return this.readPeer(peer, address, terms);
  }

  /**
   * Reads this VM's replica without an index to reach: the VM and its replica
   * learn of the leader together, so the index proves nothing. A call with a key
   * needs one, since a replica that was frozen hears of the leader before it has
   * caught up, and may not have the record that revoked the key.
   */
  private async readOwn(
    reader: ReplicaReader,
    address: QueueAddress,
    {deadline, signal}: BlockingTerms,
  ): Promise<ReplicaAnswer> {
    const {waitMs} = this.replicaTimes(address, deadline, signal);
    const wait = {deadline: this.options.clock.now() + waitMs, signal};
    const hasKey = address.credential !== undefined;
    const atLeast = hasKey ? this.options.gateway.knownIndex : 0;
    const {answer = null, waitedMs} = await reader.readBlocking(
      address,
      atLeast,
      wait,
    );
    const {index} = reader;
    return this.check(null, address, atLeast, {answer, index, waitedMs});
  }

  /**
   * How long a replica may take to answer, and wait for an end before that, in
   * ms. The count of a queue has no end to wait for.
   */
  private replicaTimes(
    {path}: QueueAddress,
    deadline: number,
    {aborted}: AbortSignal,
  ): {readonly answerMs: number; readonly waitMs: number} {
    const leftMs = deadline - this.options.clock.now();
    const mayTakeMs = leftMs * REPLICA_TIME_FRACTION;
    const answerMs = Math.min(MAX_REPLICA_WAIT_MS, mayTakeMs);
    const waitMs = Math.floor(Math.min(MAX_END_WAIT_MS, mayTakeMs - answerMs));
    const mayWait = mayNameWorkflow(path) && !this.isDraining && !aborted;
    return {answerMs, waitMs: mayWait ? waitMs : 0};
  }

  private async readPeer(
    peer: VmId,
    address: QueueAddress,
    {deadline, signal}: BlockingTerms,
  ): Promise<ReplicaAnswer> {
    const {gateway, peers, logger} = this.options;
    const atLeast = gateway.knownIndex;
    const {answerMs, waitMs} = this.replicaTimes(address, deadline, signal);
    try {
      const query = {...address, atLeast, waitMs};
      const reply = await peers.call(peer, 'readWorkflow', query, {
        timeoutMs: answerMs + waitMs,
        signal,
      });
      const answer = this.check(peer, address, atLeast, reply);
      // This read has waited already; the next one goes to a replica that is up to date.
      if (answer.way === 'copy_behind') gateway.avoidReplica(peer);
      return answer;
    } catch (err) {
      logger.info(
        {change: 'reader_avoided', req: address.path, peer, err: String(err)},
        'replica did not answer; asking the leader instead',
      );
      gateway.avoidReplica(peer);
      return {way: 'copy_failed', peer};
    }
  }

  /**
   * Accepts an answer that is no older than any index reported by the leader or
   * a replica before the read. The outcome of an ended workflow does not change,
   * so a replica that merely lags may report it; one that was cut off or
   * suspended may have an old bundle. Calls with a key are answered by none
   * that lags.
   */
  private check(
    peer: VmId | null,
    {credential}: QueueAddress,
    atLeast: number,
    {
      answer,
      index,
      waitedMs: blockedMs = 0,
    }: LinkMethods['readWorkflow']['reply'],
  ): ReplicaAnswer {
    const {gateway, logger} = this.options;
    const maySettle = credential === undefined && answer && isFinal(answer);
    const known = maySettle ? gateway.settledIndex : atLeast;
    if (index < known) {
      logger.debug(
        {change: 'reader_behind', peer, index, known},
        'replica is behind; asking the leader instead',
      );
      return {way: 'copy_behind', peer, blockedMs};
    }
    gateway.observeIndex(index);
    return {...answerOf(peer, answer ?? undefined), blockedMs};
  }

  private rememberCancellation({path}: QueueAddress): void {
    if (this.cancelledUntil.size >= MAX_CANCELLED) this.cancelledUntil.clear();
    this.cancelledUntil.set(
      path,
      this.options.clock.now() + CANCELLED_LEADER_READ_MS,
    );
  }
}

/** The address alone of a request; without a key, no field is sent for it. */
const addressOf = ({host, path, credential}: QueueAddress): QueueAddress => ({
  host,
  path,
  ...(credential !== undefined && {credential}),
});

const answerOf = (
  peer: VmId | null,
  reply: WorkflowReply | undefined,
): ReplicaAnswer =>
  reply ? {way: 'copy', peer, reply} : {way: 'copy_unsure', peer};
