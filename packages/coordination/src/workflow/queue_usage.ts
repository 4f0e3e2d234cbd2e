/** What the queues have under way, out of the replicated state. */
import type {QueueName, WorkflowDb, WorkflowId} from '@primrosewick/state';

/** What one queue has under way. */
export interface QueueUsage {
  /** Workflows that go on. */
  open: number;
  /** Age of the oldest of them, in ms. */
  oldestOpenMs: number;
  /** Workflows of which neither a task runs nor a step waits. */
  idle: number;
  /** Tasks that run. */
  running: number;
  /** Thousandths of a core that they hold. */
  cpuMillis: number;
}

/** What all queues have under way. */
export interface CellUsage {
  readonly queues: ReadonlyMap<QueueName, QueueUsage>;
  /** Thousandths of a core of all workers. */
  readonly cpuMillis: number;
}

/** Counts what goes on at a wall time in ms; `waiting` are the workflows of which a step waits. */
export const usageOf = (
  db: WorkflowDb,
  waiting: ReadonlySet<WorkflowId>,
  wall: number,
): CellUsage => {
  const queues = new Map<QueueName, QueueUsage>();
  for (const name of db.queues.keys()) queues.set(name, noUsage());
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

const noUsage = (): QueueUsage => ({
  open: 0,
  oldestOpenMs: 0,
  idle: 0,
  running: 0,
  cpuMillis: 0,
});
