/**
 * Registers workers by what they say of themselves. Anyone could write in the name
 * of a worker, so words that contradict what is known of it are not believed, and
 * no word ends a run.
 */
import {
  CellError,
  type WorkerId,
  type WorkerIncarnation as Incarnation,
  type WorkerRegistration,
  type WorkflowCommand,
  type WorkflowDb,
  type WorkflowResult,
} from '@primrosewick/state';
import {AnnouncementSequences, hasUnrecordedChanges} from './announcements.js';
import type {LifeState} from './end_proof/types.js';
import type {WorkerTarget} from './ports.js';
import {LifeLog, type LifeLogOptions} from './life_log.js';

/** Options of {@link WorkerRegistry}. */
export interface WorkerRegistryOptions extends LifeLogOptions {
  readonly propose: (command: WorkflowCommand) => Promise<WorkflowResult>;
  /** Called for each announcement of a worker. */
  readonly onAnnouncement: (worker: WorkerId) => void;
  /**
   * Asks the incarnation of a worker that is registered whether it still runs;
   * undefined if it cannot be asked.
   */
  readonly checkLife?: (life: Incarnation) => Promise<LifeState> | undefined;
  /**
   * Asks an incarnation of a worker that is registered otherwise whether it runs
   * where it is said to; undefined if it cannot be asked.
   */
  readonly answers?: (claim: WorkerTarget) => Promise<boolean> | undefined;
}

/** Why an announcement is not believed, or not yet. */
type Doubt =
  /** No bundle names the pool, and it was not the worker's before. */
  | 'unknown_pool'
  /** It tells of a later start while the known incarnation answers. */
  | 'earlier_life_runs'
  /** The incarnation answers at another address than it names. */
  | 'other_address'
  /** Runs of the registered incarnation may go on. */
  | 'runs_unproved'
  /** It does not answer at the address that it names. */
  | 'no_answer';

/** Doubts that may pass with time. */
const NOT_YET: ReadonlySet<Doubt> = new Set(['runs_unproved', 'no_answer']);

/** Keeps the records of workers at the leader. */
export class WorkerRegistry {
  private readonly sequences = new AnnouncementSequences();
  private readonly log: LifeLog;

  constructor(private readonly options: WorkerRegistryOptions) {
    this.log = new LifeLog(options);
  }

  /**
   * Handles a worker's announcement, and records it if it changes anything.
   * @throws CellError `invalid_input` if it cannot be the worker's own, and
   *   `worker_unsure` if runs of another incarnation may go on.
   */
  async announce(
    report: WorkerRegistration,
  ): Promise<{readonly isKnown: boolean}> {
    const {onAnnouncement} = this.options;
    if (this.db.departed.has(report)) return {isKnown: true};
    if (!this.isOfKnownPool(report)) throw this.refuse(report, 'unknown_pool');
    if (!this.db.workers.has(report.worker))
      this.sequences.forgetLater(report, this.db.departed);
    if (this.sequences.note(report)) return {isKnown: true};
    const doubt = await this.findDoubt(report);
    if (doubt) {
      // The worker's own next announcement may be of an earlier incarnation.
      this.sequences.forget(report.worker);
      throw this.refuse(report, doubt);
    }
    onAnnouncement(report.worker);
    if (hasUnrecordedChanges(this.db, report)) await this.put(report);
    return {isKnown: true};
  }

  private get db(): WorkflowDb {
    return this.options.db();
  }

  /**
   * Whether the pool of a report is that of the worker so far, or named by the
   * bundle in force or by a queue of an earlier one. Before the first bundle any
   * pool may be named later.
   */
  private isOfKnownPool({worker, pool}: WorkerRegistration): boolean {
    const {bundle, queues, workers} = this.db;
    if (!bundle || workers.get(worker)?.report.pool === pool) return true;
    if (bundle.pools.some(({name}) => name === pool)) return true;
    return [...queues.values()].some(queue => queue.pool === pool);
  }

  /** @returns why a report is not believed, or not yet; undefined if it is. */
  private async findDoubt(
    report: WorkerRegistration,
  ): Promise<Doubt | undefined> {
    const known = this.db.workers.get(report.worker)?.report;
    if (!known || !isOfOtherProcess(known, report)) return undefined;
    const {checkLife, answers} = this.options;
    const {worker, bornAt} = known;
    const claim = {worker, bornAt: report.bornAt, address: report.address};
    const [state, isThere = true] = await Promise.all([
      checkLife?.({worker, bornAt}),
      answers?.(claim),
    ]);
    // Of an incarnation of unknown start, any process at its address answers.
    if (state === 'runs' && bornAt > 0)
      return report.bornAt === bornAt ? 'other_address' : 'earlier_life_runs';
    const unproved = this.db.findIncarnation({worker, bornAt})?.active.size;
    if (unproved) return 'runs_unproved';
    return isThere ? undefined : 'no_answer';
  }

  private refuse(
    {worker, bornAt, sequence, pool, address}: WorkerRegistration,
    why: Doubt,
  ): CellError {
    this.options.logger.info(
      {decision: 'refuse', worker, bornAt, sequence, pool, address, why},
      'refused an announcement that cannot be of the worker itself, or not yet',
    );
    return new CellError({
      code: NOT_YET.has(why) ? 'worker_unsure' : 'invalid_input',
      step: 'announce-worker',
      detail: why,
    });
  }

  private async put(report: WorkerRegistration): Promise<void> {
    const previous = this.db.workers.get(report.worker)?.report;
    try {
      await this.options.propose({kind: 'put_worker', report});
    } catch (err) {
      // Otherwise the worker's next announcement could be dropped as a duplicate.
      this.sequences.forget(report.worker);
      throw err;
    }
    this.log.announced(report, previous);
  }
}

/** Whether a report can only be of another process than the known one. */
const isOfOtherProcess = (
  known: WorkerRegistration,
  report: WorkerRegistration,
): boolean =>
  report.bornAt > known.bornAt ||
  (report.bornAt === known.bornAt && report.address !== known.address);
