/** Carries clients' calls: questions to a copy of the log nearby, all else to the leader. */
import {
  isLasting,
  type GatewayTask,
  type ReplicaReader,
} from '@primrosewick/coordination';
import type {
  LinkMethods,
  QueueAddress,
  WorkflowReply,
  WorkflowRequest,
} from '@primrosewick/protocol';
import type {VmId} from '@primrosewick/state';
import type {Clock, LinkCaller} from '@primrosewick/transport';
import type Logger from 'bunyan';

/** Options of the calls. */
export interface WorkflowCallsOptions {
  readonly gateway: GatewayTask;
  readonly peers: LinkCaller;
  readonly clock: Clock;
  readonly logger: Logger;
  /** The copy of this VM, where it has one. */
  readonly reader: ReplicaReader | null;
}

/** Time for which questions about what was cancelled here go to the leader, in ms. */
const CANCELLED_MS = 2000;
/** Cancellations made here that are remembered. */
const MAX_CANCELLED = 2000;

/** Calls of the clients of one VM. */
export class WorkflowCalls {
  /** Monotonic time until which a copy may lack a cancellation made here, by path, in ms. */
  private readonly cancelledUntil = new Map<string, number>();

  constructor(private readonly options: WorkflowCallsOptions) {}

  /**
   * Makes a call, until a time of the monotonic clock.
   * @throws CellError of the leader, or of the way to it.
   */
  async request(
    request: WorkflowRequest,
    deadline: number,
  ): Promise<WorkflowReply> {
    if (request.kind === 'get') {
      const answer = await this.readCopy(request);
      if (answer) return answer;
    } else if (request.kind === 'cancel') {
      this.noteCancel(request);
    }
    return this.options.gateway.callLeader('workflow', request, deadline);
  }

  private async readCopy({
    host,
    path,
  }: QueueAddress): Promise<WorkflowReply | null> {
    const {gateway, peers, clock, reader, logger} = this.options;
    if (clock.now() < (this.cancelledUntil.get(path) ?? 0)) return null;
    if (reader) return reader.read({host, path}) ?? null;
    // Only a word of the leader tells how old a copy is.
    const vm = gateway.hasContact ? gateway.readerVm : null;
    if (vm === null) return null;
    const atLeast = gateway.knownIndex;
    try {
      const request = {host, path, atLeast};
      const reply = await peers.call(vm, 'readWorkflow', request);
      return this.check(vm, atLeast, reply);
    } catch (err) {
      logger.info(
        {change: 'reader_avoided', peer: vm, err: String(err)},
        'a copy of the log did not answer; the leader is asked instead',
      );
      gateway.avoidReader(vm);
      return null;
    }
  }

  /**
   * Takes an answer that is no older than anything the leader or a copy had told
   * before the question. How a workflow ended does not change, so a copy that is
   * only behind may tell it; one that was away may have an old bundle.
   */
  private check(
    vm: VmId,
    atLeast: number,
    {answer, index}: LinkMethods['readWorkflow']['reply'],
  ): WorkflowReply | null {
    const {gateway, logger} = this.options;
    const known =
      answer && isLasting(answer)
        ? Math.min(atLeast, gateway.settledIndex)
        : atLeast;
    if (index < known) {
      logger.debug(
        {change: 'reader_behind', peer: vm, index, known},
        'a copy of the log is behind; the leader is asked instead',
      );
      return null;
    }
    gateway.noteIndex(index);
    return answer;
  }

  private noteCancel({path}: QueueAddress): void {
    if (this.cancelledUntil.size >= MAX_CANCELLED) this.cancelledUntil.clear();
    this.cancelledUntil.set(path, this.options.clock.now() + CANCELLED_MS);
  }
}
