/** Computes the current usage of each queue from the replicated state. */
import type {QueueName, WorkflowDb, WorkflowId} from '@primrosewick/state';

/** Usage of one queue. */
export interface QueueUsage {
  /** Open workflows. */
  open: number;
  /** Age of the oldest open workflow, in ms. */
  oldestOpenMs: number;
  /** Open workflows with neither a running task nor a waiting step. */
  idle: number;
  /** Running tasks. */
  running: number;
  /** Processor share of the running tasks, in thousandths of a core. */
  cpuMillis: number;
}

/** Usage of all queues, and the capacity of the cell. */
export interface CellUsage {
  readonly queues: ReadonlyMap<QueueName, QueueUsage>;
  /** Processor capacity of all workers, in thousandths of a core. */
  readonly cpuMillis: number;
}

/** Computes the usage at a wall time in ms; `waiting` has the workflows with waiting steps. */
export const usageOf = (
  db: WorkflowDb,
  waiting: ReadonlySet<WorkflowId>,
  wall: number,
): CellUsage => {
  const queues = new Map<QueueName, QueueUsage>();
  for (const name of db.queues.keys()) queues.set(name, emptyUsage());
  const active = new Set<WorkflowId>();
  let cpuMillis = 0;
  for (const worker of db.workers.values()) {
    cpuMillis += worker.report.room.cpuMillis;
    for (const {task} of worker.active.values()) {
      active.add(task.workflow);
      const workflow = db.workflows.get(task.workflow);
      const usage = workflow && queues.get(workflow.queue);
      if (!usage) continue;
      usage.running++;
      usage.cpuMillis += workflow.spec.steps[task.step]?.room.cpuMillis ?? 0;
    }
  }
  for (const [id, {queue, acceptedAt}] of db.open) {
    const usage = queues.get(queue);
    if (!usage) continue;
    usage.open++;
    usage.oldestOpenMs = Math.max(usage.oldestOpenMs, wall - acceptedAt);
    if (!active.has(id) && !waiting.has(id)) usage.idle++;
  }
  return {queues, cpuMillis};
};

const emptyUsage = (): QueueUsage => ({
  open: 0,
  oldestOpenMs: 0,
  idle: 0,
  running: 0,
  cpuMillis: 0,
});
