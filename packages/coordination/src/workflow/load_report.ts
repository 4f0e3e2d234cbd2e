/** Periodically logs waits, usage and calls for advice of each queue while this VM leads. */
import type Logger from 'bunyan';
import type {
  PlannedWait,
  QueueName,
  SpeedSpread,
  WorkflowCommand,
  WorkflowDb,
} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import {AdviceLoad} from './advice_load.js';
import {CustomerLoad} from './customer_load.js';
import {QueueLoad, type EndedWait} from './queue_load.js';
import {RecoveryLog} from './recovery_log.js';
import {usageOf, type CellUsage} from './queue_usage.js';
import {SpeedLog} from './speed_log.js';

/** Interval between two log lines of a queue, in ms. */
export const LOAD_INTERVAL_MS = 2000;
/** Maximum number of queues logged at a time; those with the most open workflows go first. */
const MAX_QUEUES_LOGGED = 20;

/** Current use of the VMs that call the adviser. */
export interface CallerUse {
  readonly callers: number;
  readonly busyCallers: number;
  /** Calls that are queued for a caller. */
  readonly queuedCalls: number;
}

/** Options of a `LoadReport`. */
export interface LoadReportOptions {
  readonly db: WorkflowDb;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly callerUse: () => CallerUse;
  /** Called for each wait that has ended. */
  readonly onWaited?: (wait: EndedWait) => void;
  readonly onSpeeds?: (spread: SpeedSpread) => void;
}

/**
 * Logs a summary of each queue. Totals count from the start of the leadership,
 * so a lost line loses no data.
 */
export class LoadReport {
  readonly queues: QueueLoad;
  readonly advice = new AdviceLoad();
  private readonly customers: CustomerLoad;
  private readonly beganAt: number;
  private readonly speedLog: SpeedLog;
  private readonly recovery: RecoveryLog;
  /** Queues that had work at the last report. */
  private lastWithWork: ReadonlySet<QueueName> = new Set();

  constructor(private readonly options: LoadReportOptions) {
    const {db, clock, logger} = options;
    this.queues = new QueueLoad(id => db.workflows.get(id)?.queue);
    this.customers = new CustomerLoad(options);
    this.beganAt = clock.now();
    this.speedLog = new SpeedLog(options.logger, db, options.onSpeeds);
    this.recovery = new RecoveryLog(logger, db, this.beganAt);
  }

  /** Notes all waits of one pass, at a monotonic time in ms. */
  notePass(waits: readonly PlannedWait[], now: number): void {
    this.customers.notePass(waits);
    this.recovery.notePass(waits, now);
    for (const wait of this.queues.notePass(waits, now))
      this.options.onWaited?.(wait);
  }

  /** Counts the ended and voided runs of an applied record. */
  noteRecord(command: WorkflowCommand): void {
    const {queues} = this;
    this.recovery.noteRecord(command, this.options.clock.now());
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

  /** Logs one line for each queue with work. */
  logQueues(): void {
    const {db, clock} = this.options;
    const waiting = this.queues.waitingWorkflows();
    const usage = usageOf(db, waiting, clock.wall());
    const withWork = new Set(
      [...usage.queues.keys()].filter(queue => hasWork(usage, queue)),
    );
    // A queue that has run out of work gets one more line, with its final totals.
    const logged = [...new Set([...withWork, ...this.lastWithWork])]
      .sort((a, b) => openCountOf(usage, b) - openCountOf(usage, a))
      .slice(0, MAX_QUEUES_LOGGED);
    this.lastWithWork = withWork;
    for (const queue of logged) this.logQueue(queue, usage);
    this.speedLog.note(clock.now());
    this.customers.log();
  }

  private logQueue(queue: QueueName, {queues, cpuMillis}: CellUsage): void {
    const {clock, logger, callerUse} = this.options;
    const ownUsage = queues.get(queue);
    const now = clock.now();
    const {waiting, waitedMs, counts} = this.queues.sumsOf(queue, now);
    logger.info(
      {
        change: 'queue_load',
        queue,
        ...ownUsage,
        share:
          cpuMillis > 0 ? round3((ownUsage?.cpuMillis ?? 0) / cpuMillis) : 0,
        waiting,
        sumsOverMs: Math.round(now - this.beganAt),
        waitedMs,
        ...counts,
        advice: this.advice.sumsOf(queue),
        ...callerUse(),
      },
      'current waits and usage of a queue, and totals since the leadership began',
    );
  }
}

const hasWork = ({queues}: CellUsage, queue: QueueName): boolean => {
  const usage = queues.get(queue);
  return usage !== undefined && usage.open + usage.running > 0;
};

const openCountOf = ({queues}: CellUsage, queue: QueueName): number =>
  queues.get(queue)?.open ?? 0;

const round3 = (share: number): number => Math.round(share * 1000) / 1000;
