/**
 * Reads of replicas that confirm their answer with the leader. Load pattern:
 * while the leader is late, replicas count as stale and all reads would wait at
 * the leader, although any replica could answer after one small question.
 */
import type {ConfirmedReader, GatewayTask} from '@primrosewick/coordination';
import type {
  LinkMethods,
  QueueAddress,
  WorkflowReply,
} from '@primrosewick/protocol';
import type {VmId} from '@primrosewick/state';
import {pause, type Clock, type LinkCaller} from '@primrosewick/transport';

/** Options of {@link ConfirmedReads}. */
export interface ConfirmedReadsOptions {
  readonly gateway: Pick<GatewayTask, 'followerVms' | 'observeIndex'>;
  readonly peers: LinkCaller;
  readonly clock: Clock;
  /** Reads the replica of this VM, if it has one. */
  readonly own: ConfirmedReader | null;
}

type ConfirmedReply = LinkMethods['readConfirmed']['reply'];

/** Time after which another replica is asked as well, in ms. */
const NEXT_REPLICA_MS = 400;
/** Maximum number of replicas that are asked for one read. */
const MAX_REPLICAS = 3;

/** Asks one replica after the other until one has confirmed its answer. */
export class ConfirmedReads {
  constructor(private readonly options: ConfirmedReadsOptions) {}

  /**
   * Reads until a deadline of the monotonic clock in ms.
   * @returns undefined if no replica has confirmed an answer by then.
   */
  async read(
    address: QueueAddress,
    deadline: number,
  ): Promise<WorkflowReply | undefined> {
    const reply = await this.firstReply(address, deadline);
    if (reply) this.options.gateway.observeIndex(reply.index);
    return reply?.answer;
  }

  /** The first reply of any replica; a slow one may still be the first. */
  private firstReply(
    address: QueueAddress,
    deadline: number,
  ): Promise<ConfirmedReply | undefined> {
    const {clock} = this.options;
    return new Promise(resolve => {
      let isDone = false;
      const take = (reply: ConfirmedReply): void => {
        isDone = true;
        resolve(reply);
      };
      const askAll = async (): Promise<void> => {
        const tries: Array<Promise<void>> = [];
        for (const source of this.sources()) {
          if (isDone || clock.now() >= deadline) break;
          const tried = this.ask(source, address, deadline).then(
            take,
            () => undefined,
          );
          tries.push(tried);
          await Promise.race([tried, pause(clock, NEXT_REPLICA_MS)]);
        }
        await Promise.all(tries);
        resolve(undefined);
      };
      void askAll();
    });
  }

  /** The replica of this VM, if it may be read, and those of other VMs. */
  private sources(): Array<ConfirmedReader | VmId> {
    const {own, gateway} = this.options;
    const first = own?.isReadable ? [own] : [];
    return [...first, ...gateway.followerVms].slice(0, MAX_REPLICAS);
  }

  private async ask(
    source: ConfirmedReader | VmId,
    address: QueueAddress,
    deadline: number,
  ): Promise<ConfirmedReply> {
    const {peers, clock} = this.options;
    if (typeof source !== 'string')
      return source.readWorkflow(address, deadline);
    const timeoutMs = Math.max(0, deadline - clock.now());
    const query = {...address, timeoutMs};
    return peers.call(source, 'readConfirmed', query, {timeoutMs});
  }
}
