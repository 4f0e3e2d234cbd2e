/**
 * Routes clients' requests: reads to a nearby replica of the log, to one that
 * confirms its answer with the leader where the first is not sure, and to the
 * leader last; all else to the leader.
 */
import {
  isFinal,
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
import type {Clock, LinkCaller} from '@primrosewick/transport';
import type Logger from 'bunyan';
import type {ConfirmedReads} from './confirmed_reads.js';
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
}

/** Answer of a replica, or the reason for which the leader is asked. */
interface ReplicaAnswer {
  readonly way: ReadRoute;
  readonly peer: VmId | null;
  readonly reply?: WorkflowReply;
}

/** Time for which reads of a workflow cancelled here go to the leader, in ms. */
const CANCELLED_LEADER_READ_MS = 2000;
/** Maximum time to wait for a replica, in ms. */
const MAX_REPLICA_WAIT_MS = 300;
/**
 * Fraction of the remaining time that a replica may take, so that the leader
 * can still be asked.
 */
const REPLICA_TIME_FRACTION = 0.5;
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

  constructor(private readonly options: WorkflowRequestRouterOptions) {}

  /**
   * Routes a request, until a deadline of the monotonic clock in ms.
   * @throws CellError from the leader, or from the calls to it.
   */
  async request(
    request: WorkflowRequest,
    deadline: number,
  ): Promise<WorkflowReply> {
    if (request.kind === 'get') return this.read(request, deadline);
    if (request.kind === 'cancel') this.rememberCancellation(request);
    return this.options.gateway.callLeader('workflow', request, deadline);
  }

  private async read(
    request: Extract<WorkflowRequest, {kind: 'get'}>,
    deadline: number,
  ): Promise<WorkflowReply> {
    const {gateway, clock, reads} = this.options;
    const startedAt = clock.now();
    const {reply, way, peer} = await this.readReplica(request, deadline);
    const copyMs = clock.now() - startedAt;
    let isConfirmed = false;
    const recordRead = (err?: CellError): void => {
      const endedAt = clock.now();
      const waitMs = endedAt - startedAt;
      const {path} = request;
      reads.record({
        path,
        way,
        peer,
        endedAt,
        waitMs,
        copyMs,
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

  /** Reads a replica that first reaches a read index of the leader. */
  private confirm(
    {host, path}: QueueAddress,
    deadline: number,
  ): Promise<WorkflowReply | undefined> {
    const {clock, confirmed} = this.options;
    const leftMs = deadline - clock.now();
    const until = clock.now() + leftMs * CONFIRMED_TIME_FRACTION;
    return confirmed.read({host, path}, until);
  }

  private async readReplica(
    {host, path}: QueueAddress,
    deadline: number,
  ): Promise<ReplicaAnswer> {
    const {gateway, clock, reader} = this.options;
    if (clock.now() < (this.cancelledUntil.get(path) ?? 0))
      return {way: 'cancelled_here', peer: null};
    if (reader) return this.readOwn(reader, {host, path});
    // The age of a replica is known only by the indexes that the leader reports.
    if (!gateway.hasContact) return {way: 'no_contact', peer: null};
    const peer = gateway.replicaVm;
    if (peer === null) return {way: 'no_reader', peer};
    return this.readPeer(peer, {host, path}, deadline);
  }

  /**
   * Reads this VM's replica without an index to reach: the VM and its replica
   * learn of the leader together, so the index proves nothing.
   */
  private async readOwn(
    reader: ReplicaReader,
    address: QueueAddress,
  ): Promise<ReplicaAnswer> {
    const answer = (await reader.readAt(address, 0)) ?? null;
    return this.check(null, 0, {answer, index: reader.index});
  }

  private async readPeer(
    peer: VmId,
    address: QueueAddress,
    deadline: number,
  ): Promise<ReplicaAnswer> {
    const {gateway, peers, clock, logger} = this.options;
    const atLeast = gateway.knownIndex;
    const leftMs = deadline - clock.now();
    const timeoutMs = Math.min(
      MAX_REPLICA_WAIT_MS,
      leftMs * REPLICA_TIME_FRACTION,
    );
    try {
      const query = {...address, atLeast};
      const reply = await peers.call(peer, 'readWorkflow', query, {
        timeoutMs,
      });
      const answer = this.check(peer, atLeast, reply);
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
   * suspended may have an old bundle.
   */
  private check(
    peer: VmId | null,
    atLeast: number,
    {answer, index}: LinkMethods['readWorkflow']['reply'],
  ): ReplicaAnswer {
    const {gateway, logger} = this.options;
    const known = answer && isFinal(answer) ? gateway.settledIndex : atLeast;
    if (index < known) {
      logger.debug(
        {change: 'reader_behind', peer, index, known},
        'replica is behind; asking the leader instead',
      );
      return {way: 'copy_behind', peer};
    }
    gateway.observeIndex(index);
    return answerOf(peer, answer ?? undefined);
  }

  private rememberCancellation({path}: QueueAddress): void {
    if (this.cancelledUntil.size >= MAX_CANCELLED) this.cancelledUntil.clear();
    this.cancelledUntil.set(
      path,
      this.options.clock.now() + CANCELLED_LEADER_READ_MS,
    );
  }
}

const answerOf = (
  peer: VmId | null,
  reply: WorkflowReply | undefined,
): ReplicaAnswer =>
  reply ? {way: 'copy', peer, reply} : {way: 'copy_unsure', peer};
