/**
 * Reads that wait for the end of their workflow, bounded in number and time.
 * Load pattern: callers ask just after the last task of a workflow has ended,
 * while that end is still being recorded. A caller that is told at once that the
 * workflow runs comes back only after its pause, which is many times as long.
 */
import type {WorkflowId} from '../types.js';
import type {BlockingRead, ReadId} from './types.js';

/** Options of {@link BlockingReads}. */
export interface BlockingReadsOptions {
  /** Maximum number of reads that wait at a time. */
  readonly maxReads: number;
}

/** The reads that wait at one replica. */
export class BlockingReads {
  private readonly reads = new Map<ReadId, BlockingRead>();
  private readonly byWorkflow = new Map<WorkflowId, Set<ReadId>>();
  /** Reads by priority; those of one priority in the order of their arrival. */
  private readonly byPriority = new Map<number, Set<ReadId>>();

  constructor(private readonly options: BlockingReadsOptions) {}

  /** Number of reads that wait. */
  get size(): number {
    return this.reads.size;
  }

  /**
   * Adds a read.
   * @returns the read that has to be answered in its favour, which may be the
   *   added one: the oldest of the least urgent priority.
   */
  add(read: BlockingRead): ReadId | undefined {
    const {id, workflow, priority} = read;
    this.reads.set(id, read);
    addTo(this.byWorkflow, workflow, id);
    addTo(this.byPriority, priority, id);
    if (this.reads.size <= this.options.maxReads) return undefined;
    const displaced = this.leastUrgent();
    if (displaced !== undefined) this.remove(displaced);
    return displaced;
  }

  /** Removes a read. @returns whether it was waiting. */
  remove(id: ReadId): boolean {
    const read = this.reads.get(id);
    if (!read) return false;
    this.reads.delete(id);
    removeFrom(this.byWorkflow, read.workflow, id);
    removeFrom(this.byPriority, read.priority, id);
    return true;
  }

  /** Removes and returns the reads that wait for the end of a workflow. */
  takeFor(workflow: WorkflowId): ReadId[] {
    return this.take([...(this.byWorkflow.get(workflow) ?? [])]);
  }

  /** Removes and returns the reads whose deadline has passed at a monotonic time in ms. */
  takeExpired(now: number): ReadId[] {
    const expired = [...this.reads.values()].filter(
      ({deadline}) => deadline <= now,
    );
    return this.take(expired.map(({id}) => id));
  }

  /** Removes and returns all reads. */
  takeAll(): ReadId[] {
    return this.take([...this.reads.keys()]);
  }

  private take(ids: ReadId[]): ReadId[] {
    for (const id of ids) this.remove(id);
    return ids;
  }

  private leastUrgent(): ReadId | undefined {
    const priority = Math.max(...this.byPriority.keys());
    const [oldest] = this.byPriority.get(priority) ?? [];
    return oldest;
  }
}

const addTo = <K>(index: Map<K, Set<ReadId>>, key: K, id: ReadId): void => {
  const ids = index.get(key);
  if (ids) ids.add(id);
  else index.set(key, new Set([id]));
};

const removeFrom = <K>(
  index: Map<K, Set<ReadId>>,
  key: K,
  id: ReadId,
): void => {
  const ids = index.get(key);
  ids?.delete(id);
  if (ids?.size === 0) index.delete(key);
};
