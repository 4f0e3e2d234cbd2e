/** The open workflows, with totals by queue that are kept as workflows come and go. */
import type {QueueName} from '../bundle/types.js';
import {longestChainMs} from './planner/ready.js';
import type {WorkflowId, WorkflowSpec, WorkflowState} from './types.js';

/** Totals of one queue. */
export interface QueueWork {
  readonly count: number;
  /** Sum of the critical paths, in ms. */
  readonly chainMs: number;
  /**
   * Sum of the estimated work that is due now, finished tasks included, in
   * thousandths of a core times ms.
   */
  readonly work: number;
}

const NO_WORK: QueueWork = {count: 0, chainMs: 0, work: 0};

/**
 * Maximum share of one workflow in a total: sums of many stay exact, and a
 * pool that holds one is far beyond any backlog that is admitted.
 */
const MAX_SHARE = 2 ** 46;

const toShare = (amount: number): number =>
  amount <= MAX_SHARE ? amount : MAX_SHARE;

/** Estimated work of a workflow; none for a timed one and for tasks that last. */
const workOf = ({firstDueAt, steps}: WorkflowSpec): number => {
  if (firstDueAt > 0) return 0;
  let sum = 0;
  for (const {
    taskCount,
    room,
    estimateMs,
    usesLeftover,
    isLongRunning,
  } of steps)
    if (!usesLeftover && !isLongRunning)
      sum += taskCount * room.cpuMillis * estimateMs;
  return sum;
};

/** Open workflows by id, in the order in which they were accepted. */
export class OpenWorkflows extends Map<WorkflowId, WorkflowState> {
  private totals = new Map<QueueName, QueueWork>();

  /** Totals of a queue. */
  workOf(queue: QueueName): QueueWork {
    return this.totals.get(queue) ?? NO_WORK;
  }

  override set(id: WorkflowId, workflow: WorkflowState): this {
    this.delete(id);
    this.count(workflow, 1);
    return super.set(id, workflow);
  }

  override delete(id: WorkflowId): boolean {
    const known = this.get(id);
    if (known) this.count(known, -1);
    return super.delete(id);
  }

  override clear(): void {
    this.totals.clear();
    super.clear();
  }

  private count({queue, spec}: WorkflowState, sign: 1 | -1): void {
    const {count, chainMs, work} = this.workOf(queue);
    // An empty queue starts anew, so that rounding errors do not add up.
    if (count + sign === 0) this.totals.delete(queue);
    else
      this.totals.set(queue, {
        count: count + sign,
        chainMs: chainMs + sign * toShare(longestChainMs(spec)),
        work: work + sign * toShare(workOf(spec)),
      });
  }
}
