/**
 * Core of a worker, without clock or network: accepts orders under leases,
 * runs tasks for their declared time, and reports them until their end is
 * acknowledged.
 */
import type {
  StartOrder,
  TaskReport,
  WorkerAnnouncement,
  WorkerOrders,
} from '@primrosewick/protocol';
import {
  addSizes,
  asEpoch,
  fits,
  ZERO_SIZE,
  type Size,
  type TaskOutcome,
  type WorkerId,
  type ZoneId,
} from '@primrosewick/state';

/** Options of a worker. */
export interface WorkerCoreOptions {
  readonly worker: WorkerId;
  readonly zone: ZoneId;
  readonly rack: string;
  readonly address: string;
  readonly size: Size;
  /** Outcome of a task with this command; default `succeeded`. */
  readonly outcomeOf?: (command: string) => TaskOutcome;
}

interface Task {
  readonly order: StartOrder;
  readonly startedAt: number;
  /** Time at which the task finishes by itself. */
  readonly endsAt: number;
  leaseDeadline: number;
  stopsAt: number;
  outcome?: TaskOutcome;
}

/** One run of a task, for the assertions of a test. */
export interface RunRecord {
  readonly key: string;
  readonly task: string;
  readonly startedAt: number;
  endedAt: number;
}

/** Why a start order was refused. */
export type StartRefusal =
  'stale_epoch' | 'lease_lapsed' | 'no_room' | 'other_worker';

const keyOf = ({task, attempt}: {task: string; attempt: string}): string =>
  `${task}#${attempt}`;

/** One worker. */
export class WorkerCore {
  private readonly tasks = new Map<string, Task>();
  private readonly sentAt = new Map<number, number>();
  private seq = 0;
  private fence = 0;
  private epoch = 0;
  /** Whether the worker announces that it is leaving, and so gets no new tasks. */
  isLeaving = false;
  /** Number of starts after which the running tasks exceeded the worker's size. */
  overSize = 0;
  /** All runs since the start. */
  readonly runs: RunRecord[] = [];

  constructor(private readonly options: WorkerCoreOptions) {}

  /** Tasks that are currently running. */
  get running(): string[] {
    return [...this.tasks.values()]
      .filter(task => !task.outcome)
      .map(({order}) => order.task);
  }

  /**
   * Handles an order to start a task. Idempotent: a repeated order for a known
   * attempt is accepted again.
   * @returns why the order was refused, or undefined.
   */
  start(order: StartOrder, now: number): StartRefusal | undefined {
    // Each process numbers its announcements from 1, so the sequence number
    // alone does not distinguish the processes at one address.
    if (order.worker !== this.options.worker) return 'other_worker';
    this.tick(now);
    const key = keyOf(order);
    if (this.tasks.has(key)) return undefined;
    if (order.epoch < this.epoch) return 'stale_epoch';
    const leaseDeadline =
      (this.sentAt.get(order.leaseSeq) ?? Number.NEGATIVE_INFINITY) +
      order.leaseMs;
    if (order.leaseSeq < this.fence || now >= leaseDeadline)
      return 'lease_lapsed';
    this.epoch = order.epoch;
    this.tasks.set(key, {
      order,
      startedAt: now,
      endsAt: now + order.runMs,
      leaseDeadline,
      stopsAt: Number.POSITIVE_INFINITY,
    });
    this.runs.push({
      key,
      task: order.task,
      startedAt: now,
      endedAt: Number.POSITIVE_INFINITY,
    });
    this.recordOverSize();
    return undefined;
  }

  /** Builds the next announcement. */
  announce(now: number): WorkerAnnouncement {
    this.tick(now);
    this.seq++;
    this.sentAt.set(this.seq, now);
    const {worker, zone, rack, address, size} = this.options;
    return {
      worker,
      zone,
      rack,
      address,
      size,
      state: this.isLeaving ? 'leaving' : 'serving',
      seq: this.seq,
      fence: this.fence,
      epoch: asEpoch(this.epoch),
      tasks: [...this.tasks.values()].map(task => reportOf(task, now)),
    };
  }

  /** Handles the reply to an announcement; one of an older epoch is ignored. */
  onAnnouncementReply(seq: number, orders: WorkerOrders, now: number): void {
    if (orders.epoch < this.epoch) return;
    this.epoch = orders.epoch;
    this.fence = Math.max(this.fence, seq);
    const deadline =
      (this.sentAt.get(seq) ?? Number.NEGATIVE_INFINITY) + orders.leaseMs;
    for (const key of orders.renewed) this.renew(key, deadline);
    for (const key of orders.stop) this.stop(key, now);
    for (const key of orders.acknowledged) this.forget(key);
    for (const old of this.sentAt.keys())
      if (old < seq) this.sentAt.delete(old);
    this.tick(now);
  }

  /** Ends the tasks whose run time, grace period or lease has passed. */
  tick(now: number): void {
    for (const task of this.tasks.values()) {
      if (task.outcome) continue;
      if (now >= task.leaseDeadline)
        this.end(task, 'unknown', Math.min(now, task.leaseDeadline));
      else if (now >= task.endsAt)
        this.end(task, this.outcomeOf(task), task.endsAt);
      else if (now >= task.stopsAt) this.end(task, 'cancelled', now);
    }
  }

  private outcomeOf({order}: Task): TaskOutcome {
    return this.options.outcomeOf?.(order.command) ?? 'succeeded';
  }

  private renew(key: string, deadline: number): void {
    const task = this.tasks.get(key);
    if (task) task.leaseDeadline = Math.max(task.leaseDeadline, deadline);
  }

  private stop(key: string, now: number): void {
    const task = this.tasks.get(key);
    if (task) task.stopsAt = Math.min(task.stopsAt, now + task.order.graceMs);
  }

  private forget(key: string): void {
    if (this.tasks.get(key)?.outcome) this.tasks.delete(key);
  }

  private end(task: Task, outcome: TaskOutcome, at: number): void {
    task.outcome = outcome;
    const run = this.runs.find(({key}) => key === keyOf(task.order));
    if (run) run.endedAt = at;
  }

  private recordOverSize(): void {
    const sizes = [...this.tasks.values()]
      .filter(task => !task.outcome)
      .map(({order}) => order.size);
    const used = sizes.reduce((sum, size) => addSizes(sum, size), ZERO_SIZE);
    if (!fits(used, this.options.size)) this.overSize++;
  }
}

const reportOf = (task: Task, now: number): TaskReport => ({
  task: task.order.task,
  attempt: task.order.attempt,
  state: task.outcome
    ? 'ended'
    : Number.isFinite(task.stopsAt)
      ? 'stopping'
      : 'running',
  ...(task.outcome ? {outcome: task.outcome} : {}),
  usedCpuMillis: 0,
  usedMemoryMb: 0,
  size: task.order.size,
  ranMs: Math.max(0, Math.round(now - task.startedAt)),
});
