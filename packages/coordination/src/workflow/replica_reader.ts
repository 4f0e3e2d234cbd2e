/**
 * Answers questions about workflows from this VM's copy of the log. Load
 * pattern: every client asks for the state of its work again and again, several
 * times as often as work is handed in; asked of the leader, each question costs
 * it a call and a round to a majority.
 */
import type {QueueAddress, WorkflowReply} from '@primrosewick/protocol';
import {matchQueue, type WorkflowId} from '@primrosewick/state';
import {pause, type Clock} from '@primrosewick/transport';
import type {WorkflowReplica} from './replica.js';
import {countPending, viewOf} from './workflow_view.js';

/** Options of the reader. */
export interface ReplicaReaderOptions {
  readonly replica: WorkflowReplica;
  readonly clock: Clock;
  /** Age of the copy: time since the leader last told of its commits, in ms. */
  readonly ageMs: () => number;
}

/** Age from which the copy tells nothing that may still change, in ms: two heartbeats of the log. */
const MAX_AGE_MS = 250;
/** Time for which a question waits for a copy that is behind, in ms. */
const MAX_WAIT_MS = 150;
/** Interval of the looks at a copy that is behind, in ms: entries come as often. */
const LOOK_INTERVAL_MS = 10;

/** Whether an answer stays true whatever is recorded later. */
export const isFinal = (reply: WorkflowReply): boolean =>
  reply.kind === 'state' &&
  reply.state !== 'queued' &&
  reply.state !== 'running';

/** Reads the copy of one VM. */
export class ReplicaReader {
  constructor(private readonly options: ReplicaReaderOptions) {}

  /** Whether there is a copy to ask, be it late at the moment. */
  get isReadable(): boolean {
    return this.options.replica.isReady;
  }

  /** Whether the copy may be shown now. */
  get isFresh(): boolean {
    return this.isReadable && this.options.ageMs() <= MAX_AGE_MS;
  }

  /** Reads once the copy holds an index and is fresh, or has been waited for. */
  async readAt(
    address: QueueAddress,
    atLeast: number,
  ): Promise<WorkflowReply | undefined> {
    const {clock} = this.options;
    const known = this.read(address);
    if (known && (isFinal(known) || this.isAt(atLeast))) return known;
    const deadline = clock.now() + MAX_WAIT_MS;
    while (!this.isAt(atLeast) && clock.now() < deadline)
      await pause(clock, LOOK_INTERVAL_MS);
    return this.read(address);
  }

  /** Index of the log that the copy holds. */
  get index(): number {
    return this.options.replica.index;
  }

  private isAt(index: number): boolean {
    return this.isFresh && this.index >= index;
  }

  /**
   * State of a workflow, or the number of those that wait.
   * @returns undefined where only the leader can tell: that nothing is known
   *   here does not mean that nothing was accepted.
   */
  read(address: QueueAddress): WorkflowReply | undefined {
    const reply = this.isReadable ? this.lookUp(address) : undefined;
    return reply && (this.isFresh || isFinal(reply)) ? reply : undefined;
  }

  private lookUp({host, path}: QueueAddress): WorkflowReply | undefined {
    const {db} = this.options.replica;
    const match = db.bundle && matchQueue(db.bundle, host, path);
    if (!match) return undefined;
    if (match.rest === '')
      return {kind: 'pending', count: countPending(db, match.queue)};
    const workflow = db.workflows.get(match.rest as WorkflowId);
    return workflow && {kind: 'state', state: viewOf(workflow)};
  }
}
