/** Tells now and then what each queue waits for, holds and asks, while this VM leads. */
import type Logger from 'bunyan';
import type {
  PlannedWait,
  QueueName,
  WorkflowCommand,
  WorkflowDb,
} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import {AdviceLoad} from './advice_load.js';
import {QueueLoad, type EndedWait} from './queue_load.js';
import {usageOf, type CellUsage} from './queue_usage.js';

/** Interval of the lines of a queue, in ms. */
export const LOAD_INTERVAL_MS = 2000;
/** Queues that are told of at a time, of those with work; those with most open workflows go first. */
const MAX_QUEUES_LOGGED = 20;

/** Callers of the adviser at one moment. */
export interface CallerUse {
  readonly callers: number;
  readonly busyCallers: number;
  /** Calls that wait for a caller. */
  readonly queuedCalls: number;
}

/** Options of the report. */
export interface LoadReportOptions {
  readonly db: WorkflowDb;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly callerUse: () => CallerUse;
  /** Called for each wait that is over. */
  readonly onWaited?: (wait: EndedWait) => void;
}

/** Lines that sum up the queues. Sums run since the leadership began, so that a lost line costs nothing. */
export class LoadReport {
  readonly queues: QueueLoad;
  readonly advice = new AdviceLoad();
  private readonly beganAt: number;
  /** Queues that had work at the last look. */
  private hadWork: ReadonlySet<QueueName> = new Set();

  constructor(private readonly options: LoadReportOptions) {
    const {db, clock} = options;
    this.queues = new QueueLoad(id => db.workflows.get(id)?.queue);
    this.beganAt = clock.now();
  }

  /** Takes all waits of one pass, at a monotonic time in ms. */
  notePass(waits: readonly PlannedWait[], now: number): void {
    for (const wait of this.queues.notePass(waits, now))
      this.options.onWaited?.(wait);
  }

  /** Counts what a record that is applied says of runs. */
  noteRecord(command: WorkflowCommand): void {
    const {queues} = this;
    switch (command.kind) {
      case 'end_runs':
        for (const {task, outcome} of command.ends)
          queues.count(task.workflow, 'ended', outcome);
        break;
      case 'void_runs':
        for (const {task} of command.runs)
          queues.count(task.workflow, 'givenUp', command.reason);
        break;
      case 'remove_worker':
        for (const {task} of command.runs)
          queues.count(task.workflow, 'givenUp', 'worker_gone');
        break;
      case 'start_runs':
      case 'submit':
      case 'cancel':
      case 'put_worker':
      case 'put_bundle':
    }
  }

  /** Tells of each queue. */
  logQueues(): void {
    const {db, clock} = this.options;
    const waiting = this.queues.waitingWorkflows();
    const usage = usageOf(db, waiting, clock.wall());
    const hasWork = new Set(
      [...usage.queues.keys()].filter(queue => isAtWork(usage, queue)),
    );
    // One more line tells the sums of a queue whose work is over.
    const told = [...new Set([...hasWork, ...this.hadWork])]
      .sort((a, b) => openOf(usage, b) - openOf(usage, a))
      .slice(0, MAX_QUEUES_LOGGED);
    this.hadWork = hasWork;
    for (const queue of told) this.logQueue(queue, usage);
  }

  private logQueue(queue: QueueName, {queues, cpuMillis}: CellUsage): void {
    const {clock, logger, callerUse} = this.options;
    const own = queues.get(queue);
    const now = clock.now();
    const {waiting, waitedMs, counts} = this.queues.sumsOf(queue, now);
    logger.info(
      {
        change: 'queue_load',
        queue,
        ...own,
        share: cpuMillis > 0 ? round3((own?.cpuMillis ?? 0) / cpuMillis) : 0,
        waiting,
        sumsOverMs: Math.round(now - this.beganAt),
        waitedMs,
        ...counts,
        advice: this.advice.sumsOf(queue),
        ...callerUse(),
      },
      'what a queue waits for and holds now, and sums since the leadership began',
    );
  }
}

const isAtWork = ({queues}: CellUsage, queue: QueueName): boolean => {
  const usage = queues.get(queue);
  return usage !== undefined && usage.open + usage.running > 0;
};

const openOf = ({queues}: CellUsage, queue: QueueName): number =>
  queues.get(queue)?.open ?? 0;

const round3 = (share: number): number => Math.round(share * 1000) / 1000;
