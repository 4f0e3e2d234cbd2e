/**
 * Serves reads of workflows from this VM's replica. Load pattern: every client
 * polls the state of its workflows, several times as often as workflows are
 * submitted; at the leader, each read costs a call and a quorum round.
 */
import type {QueueAddress, WorkflowReply} from '@primrosewick/protocol';
import type {WorkflowId} from '@primrosewick/state';
import {pause, type Clock} from '@primrosewick/transport';
import type {BlockingReadsTask} from '../blocking_reads/task.js';
import type {WorkflowReplica} from './replica.js';
import {findWorkflow, lookUp} from './workflow_view.js';

/** Options of a `ReplicaReader`. */
export interface ReplicaReaderOptions {
  readonly replica: WorkflowReplica;
  readonly clock: Clock;
  /** Age of the replica: time since the leader last reported its commit index, in ms. */
  readonly ageMs: () => number;
  /** Holds reads that wait for the end of their workflow; without it, none waits. */
  readonly blocking?: Pick<BlockingReadsTask, 'untilEnded'>;
  /** Called for each read that is answered with the state of a workflow. */
  readonly onRead?: (id: WorkflowId, isEnded: boolean) => void;
}

/** How long a read may wait for the end of a running workflow. */
export interface EndWait {
  /** Monotonic time until which it may wait, in ms. */
  readonly deadline: number;
  /** Aborted when its caller has gone. */
  readonly signal?: AbortSignal;
}

/** Answer of a read that may have waited for an end. */
export interface BlockingAnswer {
  /** Undefined where only the leader can answer. */
  readonly answer: WorkflowReply | undefined;
  /** Time for which it waited for the end of the workflow, in ms. */
  readonly waitedMs: number;
}

/**
 * Age above which a replica serves only final states, and those only without
 * authentication, in ms: two heartbeats of the log.
 */
export const MAX_REPLICA_AGE_MS = 250;
/** Time for which a read waits for a lagging replica, in ms. */
const MAX_WAIT_MS = 150;
/** Polling interval while a replica lags, in ms: about the interval of new entries. */
const POLL_INTERVAL_MS = 10;

/** Whether an answer stays valid whatever is recorded later. */
export const isFinal = (reply: WorkflowReply): boolean =>
  reply.kind === 'state' &&
  reply.state !== 'queued' &&
  reply.state !== 'running';

const isRunning = (
  reply: WorkflowReply | undefined,
): reply is Extract<WorkflowReply, {kind: 'state'}> =>
  reply?.kind === 'state' && reply.state === 'running';

/** Reads the replica of one VM. */
export class ReplicaReader {
  constructor(private readonly options: ReplicaReaderOptions) {}

  /** Whether there is a replica to read, even if it is stale now. */
  get isReadable(): boolean {
    return this.options.replica.isReady;
  }

  /** Whether the replica is recent enough for states that may still change. */
  get isFresh(): boolean {
    return this.isReadable && this.options.ageMs() <= MAX_REPLICA_AGE_MS;
  }

  /**
   * Reads once the replica is fresh and has applied the index `atLeast`, waiting
   * up to `MAX_WAIT_MS`. After that, it returns what `read` returns.
   */
  async readAt(
    address: QueueAddress,
    atLeast: number,
  ): Promise<WorkflowReply | undefined> {
    const answer = await this.readOnceReached(address, atLeast);
    if (answer) this.noteRead(address, answer);
    return answer;
  }

  /** Reads like {@link readAt}; a read of a running workflow waits for its end. */
  async readBlocking(
    address: QueueAddress,
    atLeast: number,
    wait: EndWait,
  ): Promise<BlockingAnswer> {
    const {clock} = this.options;
    const first = await this.readOnceReached(address, atLeast);
    const beganAt = clock.now();
    const answer = isRunning(first)
      ? await this.awaitEnd(address, first, wait)
      : first;
    if (answer) this.noteRead(address, answer);
    return {answer, waitedMs: clock.now() - beganAt};
  }

  /**
   * The final state of a workflow if it ends in time, and otherwise what was
   * read; undefined if its caller can't be authenticated here any more.
   */
  private async awaitEnd(
    address: QueueAddress,
    answer: WorkflowReply,
    wait: EndWait,
  ): Promise<WorkflowReply | undefined> {
    const {replica, blocking} = this.options;
    const workflow = findWorkflow(replica.db, address);
    if (!blocking || !workflow) return answer;
    const {id, queue} = workflow;
    const priority = replica.db.queues.get(queue)?.priority ?? 0;
    await blocking.untilEnded({workflow: id, queue, priority, ...wait});
    const later = this.read(address);
    if (!later && this.needsFresh(address)) return undefined;
    return later && isFinal(later) ? later : answer;
  }

  private noteRead(address: QueueAddress, answer: WorkflowReply): void {
    const {replica, onRead} = this.options;
    if (answer.kind !== 'state' || !onRead) return;
    const workflow = findWorkflow(replica.db, address);
    if (workflow) onRead(workflow.id, isFinal(answer));
  }

  private async readOnceReached(
    address: QueueAddress,
    atLeast: number,
  ): Promise<WorkflowReply | undefined> {
    const {clock} = this.options;
    const known = this.read(address);
    const isSettled = known && isFinal(known) && !this.needsFresh(address);
    if (known && (isSettled || this.hasReached(atLeast))) return known;
    const deadline = clock.now() + MAX_WAIT_MS;
    while (!this.hasReached(atLeast) && clock.now() < deadline)
      await pause(clock, POLL_INTERVAL_MS);
    return this.read(address);
  }

  /** Index of the log up to which the replica has applied entries. */
  get index(): number {
    return this.options.replica.index;
  }

  private hasReached(index: number): boolean {
    return this.isFresh && this.index >= index;
  }

  /**
   * Reads the state of a workflow, or the number of pending ones of a queue.
   * @returns undefined where only the leader can answer: a workflow that is
   *   missing here may still have been accepted.
   */
  read(address: QueueAddress): WorkflowReply | undefined {
    const reply = this.isReadable ? this.lookUp(address) : undefined;
    const isSettled = reply && isFinal(reply) && !this.needsFresh(address);
    return reply && (this.isFresh || isSettled) ? reply : undefined;
  }

  /**
   * Whether even final states are told only while the replica is fresh: the
   * caller's key may have been revoked since.
   */
  private needsFresh({credential}: QueueAddress): boolean {
    const {bundle} = this.options.replica.db;
    return credential !== undefined || bundle?.customers !== undefined;
  }

  private lookUp(address: QueueAddress): WorkflowReply | undefined {
    const reply = lookUp(this.options.replica.db, address);
    const isKnown = reply?.kind === 'state' || reply?.kind === 'pending';
    return isKnown ? reply : undefined;
  }
}
