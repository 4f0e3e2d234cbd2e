/**
 * Registers and removes workers by what they say of themselves. Anyone could
 * write in the name of a worker, so words that contradict what is known of it are
 * not believed.
 */
import type {LinkMethods} from '@primrosewick/protocol';
import {
  CellError,
  type CrashEvidence,
  type VoidedRun,
  type WorkerId,
  type WorkerIncarnation as Incarnation,
  type WorkerRegistration,
  type WorkflowCommand,
  type WorkflowDb,
  type WorkflowResult,
} from '@primrosewick/state';
import {AnnouncementSequences, hasUnrecordedChanges} from './announcements.js';
import type {RemoveWorker} from './crash_log.js';
import {
  LifeLog,
  type DepartureWay,
  type DeregistrationOutcome,
  type LifeLogOptions,
} from './life_log.js';
import {crashRecord} from './silence.js';

type RemoveRequest = LinkMethods['removeWorker']['request'];

/** Options of {@link WorkerRegistry}. */
export interface WorkerRegistryOptions extends LifeLogOptions {
  readonly propose: (command: WorkflowCommand) => Promise<WorkflowResult>;
  /** Called for each announcement of a worker. */
  readonly onAnnouncement: (worker: WorkerId) => void;
  /** The recorded runs of a worker, with their latest checkpoints. */
  readonly runsOf: (worker: WorkerId) => readonly VoidedRun[];
  /** Time since an incarnation last answered this leader, in ms. */
  readonly heardAgoMs?: (life: Incarnation) => number | undefined;
  /** What tells that a worker has crashed whose next incarnation is there. */
  readonly crashEvidenceOf?: (worker: WorkerId) => CrashEvidence | undefined;
  /**
   * Asks the incarnation of a worker that is registered whether it still runs;
   * false if it does not answer shortly, undefined if it cannot be asked.
   */
  readonly isAlive?: (life: Incarnation) => Promise<boolean> | undefined;
}

/** Keeps the records of workers at the leader. */
export class WorkerRegistry {
  private readonly sequences = new AnnouncementSequences();
  private readonly log: LifeLog;

  constructor(private readonly options: WorkerRegistryOptions) {
    this.log = new LifeLog(options);
  }

  /**
   * Handles a worker's announcement, and records it if it changes anything.
   * @throws CellError `invalid_input` if it cannot be the worker's own.
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
    if (await this.isContradicted(report)) {
      // The worker's own next announcement is of an earlier incarnation.
      this.sequences.forget(report.worker);
      throw this.refuse(report, 'earlier_life_runs');
    }
    onAnnouncement(report.worker);
    if (hasUnrecordedChanges(this.db, report)) await this.put(report);
    return {isKnown: true};
  }

  /**
   * Removes a worker that deregisters. With `bornAt`, only that incarnation is
   * removed; null means whichever is registered.
   */
  async remove(request: RemoveRequest): Promise<{readonly isKnown: boolean}> {
    const {worker, bornAt} = request;
    const state = this.db.workers.get(worker);
    const known = state
      ? {bornAt: state.report.bornAt, runCount: state.active.size}
      : null;
    const tell = (outcome: DeregistrationOutcome) =>
      this.log.deregistered({worker, bornAt, known, outcome});
    const isMatch = known && (bornAt === null || known.bornAt === bornAt);
    if (!isMatch) {
      tell(known ? 'other_incarnation' : 'unknown_worker');
      return {isKnown: false};
    }
    const life = {worker, bornAt: known.bornAt};
    const runs = this.options.runsOf(worker);
    // Without a start it may be the delayed word of an earlier incarnation.
    const isFinal = bornAt !== null;
    try {
      await this.proposeRemoval(
        {kind: 'remove_worker', life, runs, ...(isFinal ? {isFinal} : {})},
        'deregistered',
      );
    } catch (err) {
      tell('unconfirmed');
      throw err;
    }
    tell('removed');
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

  /** Whether the incarnation that a report would replace still runs. */
  private async isContradicted(report: WorkerRegistration): Promise<boolean> {
    const known = this.db.workers.get(report.worker)?.report;
    if (!known || known.bornAt >= report.bornAt) return false;
    const {worker, bornAt} = known;
    return (await this.options.isAlive?.({worker, bornAt})) === true;
  }

  private refuse(
    {worker, bornAt, sequence, pool}: WorkerRegistration,
    why: 'unknown_pool' | 'earlier_life_runs',
  ): CellError {
    this.options.logger.info(
      {decision: 'refuse', worker, bornAt, sequence, pool, why},
      'refused an announcement that cannot be of the worker itself',
    );
    return new CellError({
      code: 'invalid_input',
      step: 'announce-worker',
      detail: why,
    });
  }

  /** Record of an incarnation whose next one is there, though it never left. */
  private crashOf(life: Incarnation): RemoveWorker {
    const {runsOf, crashEvidenceOf} = this.options;
    const {worker} = life;
    return crashRecord(life, runsOf(worker), crashEvidenceOf?.(worker));
  }

  /** Proposes that an incarnation is removed, and logs what goes with it. */
  private async proposeRemoval(
    record: RemoveWorker,
    why: DepartureWay,
  ): Promise<void> {
    const {propose, heardAgoMs} = this.options;
    const {life} = record;
    const departing = this.log.departing(life, why, heardAgoMs?.(life));
    try {
      await propose(record);
    } catch (err) {
      this.log.gone(departing, false);
      throw err;
    }
    this.log.gone(departing, true);
  }

  private async put(report: WorkerRegistration): Promise<void> {
    const {propose} = this.options;
    const previous = this.db.workers.get(report.worker)?.report;
    try {
      if (previous && previous.bornAt < report.bornAt)
        await this.proposeRemoval(this.crashOf(previous), 'later_life');
      await propose({kind: 'put_worker', report});
    } catch (err) {
      // Otherwise the worker's next announcement could be dropped as a duplicate.
      this.sequences.forget(report.worker);
      throw err;
    }
    this.log.announced(report, previous);
  }
}
