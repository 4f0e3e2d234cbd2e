/** Carries clients' calls: questions to a copy of the log nearby, all else to the leader. */
import type {GatewayTask, ReplicaReader} from '@primrosewick/coordination';
import type {
  QueueAddress,
  WorkflowReply,
  WorkflowRequest,
} from '@primrosewick/protocol';
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
    const own = reader?.read({host, path});
    const vm = gateway.readerVm;
    if (own || vm === null) return own ?? null;
    try {
      const {answer} = await peers.call(vm, 'readWorkflow', {host, path});
      return answer;
    } catch (err) {
      logger.info(
        {change: 'reader_avoided', peer: vm, err: String(err)},
        'a copy of the log did not answer; the leader is asked instead',
      );
      gateway.avoidReader(vm);
      return null;
    }
  }

  private noteCancel({path}: QueueAddress): void {
    if (this.cancelledUntil.size >= MAX_CANCELLED) this.cancelledUntil.clear();
    this.cancelledUntil.set(path, this.options.clock.now() + CANCELLED_MS);
  }
}
