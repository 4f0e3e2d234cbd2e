/** Carries clients' calls: questions to a copy of the log nearby, all else to the leader. */
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
import type {ReadLog, ReadRoute} from './read_log.js';

/** Options of the calls. */
export interface WorkflowRequestRouterOptions {
  readonly gateway: GatewayTask;
  readonly peers: LinkCaller;
  readonly clock: Clock;
  readonly logger: Logger;
  /** The copy of this VM, where it has one. */
  readonly reader: ReplicaReader | null;
  readonly reads: ReadLog;
}

/** What a copy told, or why the leader is asked. */
interface CopyAnswer {
  readonly way: ReadRoute;
  readonly peer: VmId | null;
  readonly reply?: WorkflowReply;
}

/** Time for which questions about what was cancelled here go to the leader, in ms. */
const CANCELLED_MS = 2000;
/** Longest time for which a copy is waited for, in ms. */
const MAX_COPY_MS = 300;
/** Share of the time left that a copy may take, so that the leader can still be asked. */
const COPY_SHARE = 0.5;
/** Cancellations made here that are remembered. */
const MAX_CANCELLED = 2000;

/** Calls of the clients of one VM. */
export class WorkflowRequestRouter {
  /** Monotonic time until which a copy may lack a cancellation made here, by path, in ms. */
  private readonly cancelledUntil = new Map<string, number>();

  constructor(private readonly options: WorkflowRequestRouterOptions) {}

  /**
   * Makes a call, until a time of the monotonic clock.
   * @throws CellError of the leader, or of the way to it.
   */
  async request(
    request: WorkflowRequest,
    deadline: number,
  ): Promise<WorkflowReply> {
    if (request.kind === 'get') return this.read(request, deadline);
    if (request.kind === 'cancel') this.noteCancel(request);
    return this.options.gateway.callLeader('workflow', request, deadline);
  }

  private async read(
    request: Extract<WorkflowRequest, {kind: 'get'}>,
    deadline: number,
  ): Promise<WorkflowReply> {
    const {gateway, clock, reads} = this.options;
    const beganAt = clock.now();
    const {reply, way, peer} = await this.readCopy(request, deadline);
    const copyMs = clock.now() - beganAt;
    const note = (err?: CellError): void => {
      const endedAt = clock.now();
      const waitMs = endedAt - beganAt;
      const {path} = request;
      reads.record({
        path,
        way,
        peer,
        endedAt,
        waitMs,
        copyMs,
        ...(err && {err}),
      });
    };
    try {
      const answer =
        reply ?? (await gateway.callLeader('workflow', request, deadline));
      note();
      return answer;
    } catch (thrown) {
      note(toCellError(thrown, 'read'));
      throw thrown;
    }
  }

  private async readCopy(
    {host, path}: QueueAddress,
    deadline: number,
  ): Promise<CopyAnswer> {
    const {gateway, clock, reader} = this.options;
    if (clock.now() < (this.cancelledUntil.get(path) ?? 0))
      return {way: 'cancelled_here', peer: null};
    if (reader) return this.readOwn(reader, {host, path});
    // Only a word of the leader tells how old a copy is.
    if (!gateway.hasContact) return {way: 'no_contact', peer: null};
    const peer = gateway.replicaVm;
    if (peer === null) return {way: 'no_reader', peer};
    return this.readPeer(peer, {host, path}, deadline);
  }

  /** This VM hears of the leader as its copy does, so its index proves nothing. */
  private async readOwn(
    reader: ReplicaReader,
    address: QueueAddress,
  ): Promise<CopyAnswer> {
    const answer = (await reader.readAt(address, 0)) ?? null;
    return this.check(null, 0, {answer, index: reader.index});
  }

  private async readPeer(
    peer: VmId,
    address: QueueAddress,
    deadline: number,
  ): Promise<CopyAnswer> {
    const {gateway, peers, clock, logger} = this.options;
    const atLeast = gateway.knownIndex;
    const leftMs = deadline - clock.now();
    const timeoutMs = Math.min(MAX_COPY_MS, leftMs * COPY_SHARE);
    try {
      const question = {...address, atLeast};
      const reply = await peers.call(peer, 'readWorkflow', question, {
        timeoutMs,
      });
      const told = this.check(peer, atLeast, reply);
      // It was waited for; the next question goes to one that is level.
      if (told.way === 'copy_behind') gateway.avoidReplica(peer);
      return told;
    } catch (err) {
      logger.info(
        {change: 'reader_avoided', req: address.path, peer, err: String(err)},
        'a copy of the log did not answer; the leader is asked instead',
      );
      gateway.avoidReplica(peer);
      return {way: 'copy_failed', peer};
    }
  }

  /**
   * Takes an answer that is no older than anything the leader or a copy had told
   * before the question. How a workflow ended does not change, so a copy that is
   * only behind may tell it; one that was away may have an old bundle.
   */
  private check(
    peer: VmId | null,
    atLeast: number,
    {answer, index}: LinkMethods['readWorkflow']['reply'],
  ): CopyAnswer {
    const {gateway, logger} = this.options;
    const known = answer && isFinal(answer) ? gateway.settledIndex : atLeast;
    if (index < known) {
      logger.debug(
        {change: 'reader_behind', peer, index, known},
        'a copy of the log is behind; the leader is asked instead',
      );
      return {way: 'copy_behind', peer};
    }
    gateway.observeIndex(index);
    return answerOf(peer, answer ?? undefined);
  }

  private noteCancel({path}: QueueAddress): void {
    if (this.cancelledUntil.size >= MAX_CANCELLED) this.cancelledUntil.clear();
    this.cancelledUntil.set(path, this.options.clock.now() + CANCELLED_MS);
  }
}

const answerOf = (
  peer: VmId | null,
  reply: WorkflowReply | undefined,
): CopyAnswer =>
  reply ? {way: 'copy', peer, reply} : {way: 'copy_unsure', peer};
