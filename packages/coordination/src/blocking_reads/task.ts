/** Lets reads of one replica wait until it applies the end of their workflow. */
import {
  BlockingReads,
  type QueueName,
  type ReadId,
  type ReadRelease,
  type WorkflowId,
} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import type {Subscription} from 'rxjs';
import type {WorkflowReplica} from '../workflow/replica.js';

/** A read that wants to wait. */
export interface ReadToBlock {
  readonly workflow: WorkflowId;
  readonly queue: QueueName;
  /** Priority of the queue; 0 is the most urgent. */
  readonly priority: number;
  /** Monotonic time until which it may wait, in ms. */
  readonly deadline: number;
  /** Aborted when its caller has gone. */
  readonly signal?: AbortSignal;
}

/** A read that no longer waits. */
export interface ReleasedRead {
  readonly queue: QueueName;
  readonly why: ReadRelease;
  readonly waitedMs: number;
}

/** Options of {@link BlockingReadsTask}. */
export interface BlockingReadsTaskOptions {
  readonly replica: Pick<WorkflowReplica, 'ended' | 'restored'>;
  readonly clock: Clock;
  /** Whether the replica has recent contact to the leader. */
  readonly isFresh: () => boolean;
  readonly maxReads?: number;
  /** Called for each read that no longer waits. */
  readonly onReleased?: (read: ReleasedRead) => void;
}

/** Maximum number of reads that wait at one VM. */
const MAX_READS = 2000;
/** Interval of the checks of deadlines and of the contact to the leader, in ms. */
const CHECK_INTERVAL_MS = 25;

interface Waiter extends ReadToBlock {
  readonly beganAt: number;
  readonly resolve: (why: ReadRelease) => void;
  readonly onAbort: () => void;
}

/** Holds the reads that wait at the replica of one VM. */
export class BlockingReadsTask {
  private readonly reads: BlockingReads;
  private readonly waiters = new Map<ReadId, Waiter>();
  private readonly subscriptions: readonly Subscription[];
  private checks: Subscription | undefined;
  private lastId = 0;
  private isStopping = false;

  constructor(private readonly options: BlockingReadsTaskOptions) {
    const {replica, maxReads = MAX_READS} = options;
    this.reads = new BlockingReads({maxReads});
    this.subscriptions = [
      replica.ended.subscribe(({id}) =>
        this.release(this.reads.takeFor(id), 'ended'),
      ),
      replica.restored.subscribe(() =>
        this.release(this.reads.takeAll(), 'replaced'),
      ),
    ];
  }

  /** Number of reads that wait. */
  get size(): number {
    return this.reads.size;
  }

  /** Resolves when a read need not or may not wait any longer. */
  untilEnded(read: ReadToBlock): Promise<ReadRelease> {
    const {clock} = this.options;
    const beganAt = clock.now();
    if (this.isStopping) return Promise.resolve('stopping');
    if (read.signal?.aborted) return Promise.resolve('cancelled');
    if (read.deadline <= beganAt) return Promise.resolve('deadline');
    return new Promise(resolve => {
      const id = ++this.lastId as ReadId;
      const onAbort = (): void => this.cancel(id);
      read.signal?.addEventListener('abort', onAbort);
      this.waiters.set(id, {...read, beganAt, resolve, onAbort});
      this.startChecks();
      const {workflow, priority, deadline} = read;
      const displaced = this.reads.add({id, workflow, priority, deadline});
      if (displaced !== undefined) this.release([displaced], 'displaced');
    });
  }

  /** Releases all reads, and those that come from now on at once. */
  stop(): void {
    this.isStopping = true;
    for (const subscription of this.subscriptions) subscription.unsubscribe();
    this.release(this.reads.takeAll(), 'stopping');
  }

  private cancel(id: ReadId): void {
    if (this.reads.remove(id)) this.release([id], 'cancelled');
  }

  private startChecks(): void {
    this.checks ??= this.options.clock
      .every(CHECK_INTERVAL_MS)
      .subscribe(() => this.check());
  }

  private check(): void {
    const {clock, isFresh} = this.options;
    if (!isFresh()) return this.release(this.reads.takeAll(), 'stale');
    this.release(this.reads.takeExpired(clock.now()), 'deadline');
  }

  private release(ids: readonly ReadId[], why: ReadRelease): void {
    const now = this.options.clock.now();
    for (const id of ids) {
      const waiter = this.waiters.get(id);
      if (!waiter) continue;
      const {queue, beganAt, signal, onAbort, resolve} = waiter;
      this.waiters.delete(id);
      signal?.removeEventListener('abort', onAbort);
      this.options.onReleased?.({queue, why, waitedMs: now - beganAt});
      resolve(why);
    }
    if (this.waiters.size > 0) return;
    this.checks?.unsubscribe();
    this.checks = undefined;
  }
}
