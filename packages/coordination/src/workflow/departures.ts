/**
 * Takes note of workers that say that they leave. Such a worker gets nothing new,
 * and its runs are stopped; it is removed, and its word acknowledged, once they are
 * over.
 */
import {
  filter,
  firstValueFrom,
  map,
  race,
  startWith,
  type Observable,
} from 'rxjs';
import type {LinkMethods} from '@primrosewick/protocol';
import {
  CellError,
  type WorkerIncarnation as Incarnation,
  type WorkerRegistration,
  type WorkflowCommand,
  type WorkflowDb,
  type WorkflowResult,
} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import {
  LifeLog,
  type Deregistration,
  type DeregistrationOutcome,
  type LifeLogOptions,
} from './life_log.js';
import {departureRecord} from './removals.js';

type RemoveRequest = LinkMethods['removeWorker']['request'];

/** Options of {@link Departures}. */
export interface DeparturesOptions extends LifeLogOptions {
  readonly clock: Clock;
  readonly propose: (command: WorkflowCommand) => Promise<WorkflowResult>;
  /** Emits after each applied record. */
  readonly applied: Observable<unknown>;
  /** Removes a worker that leaves and has no runs; undefined if it has no channel. */
  readonly depart?: (life: Incarnation) => Promise<void> | undefined;
}

/** Time for the answer to a deregistration to reach its caller, in ms. */
const ANSWER_MARGIN_MS = 80;
/** When a worker whose runs are not over may deregister again, in ms. */
const RETRY_AFTER_MS = 200;

/** Keeps the records of workers that leave. */
export class Departures {
  private readonly log: LifeLog;

  constructor(private readonly options: DeparturesOptions) {
    this.log = new LifeLog(options);
  }

  /**
   * Takes note that a worker leaves, and waits until its runs are over, or until
   * shortly before a deadline of the monotonic clock in ms.
   * @throws CellError `invalid_input` if it cannot be the worker's own, and
   *   `worker_unsure` while runs of it may go on.
   */
  async remove(
    request: RemoveRequest,
    deadline: number,
  ): Promise<{readonly isKnown: boolean}> {
    const tell = this.teller(request);
    const known = this.db.workers.get(request.worker)?.report;
    const verdict = known ? judge(known, request) : 'unknown_worker';
    if (verdict !== 'leaving') tell(verdict);
    if (verdict === 'no_start') throw refusal(request);
    if (!known || verdict !== 'leaving') {
      await this.noteUnregistered(request, known?.bornAt);
      return {isKnown: false};
    }
    try {
      const isOver = await this.leave(known, deadline);
      tell(isOver ? 'removed' : 'leaving');
      if (!isOver) throw unsure(request);
    } catch (err) {
      if (!isUnsure(err)) tell('unconfirmed');
      throw err;
    }
    return {isKnown: true};
  }

  private get db(): WorkflowDb {
    return this.options.db();
  }

  /** Makes a function that logs what came of a deregistration. */
  private teller({
    worker,
    bornAt,
  }: RemoveRequest): (outcome: DeregistrationOutcome) => void {
    const state = this.db.workers.get(worker);
    const known: Deregistration['known'] = state
      ? {bornAt: state.report.bornAt, runCount: state.active.size}
      : null;
    return outcome => this.log.deregistered({worker, bornAt, known, outcome});
  }

  /** Remembers an incarnation that leaves before it was registered. */
  private async noteUnregistered(
    {worker, bornAt}: RemoveRequest,
    knownBornAt = 0,
  ): Promise<void> {
    if (bornAt === null || bornAt <= knownBornAt) return;
    const life = {worker, bornAt};
    if (!this.db.departed.has(life))
      await this.options.propose(departureRecord(life));
  }

  /** @returns whether the worker's runs are over, and it is removed, in time. */
  private async leave(
    report: WorkerRegistration,
    deadline: number,
  ): Promise<boolean> {
    const {propose, depart} = this.options;
    const {worker, bornAt} = report;
    const life = {worker, bornAt};
    if (!report.isLeaving) {
      const leaving = {...report, isDraining: true, isLeaving: true};
      await propose({kind: 'put_worker', report: leaving});
    }
    if (!(await this.waitUntilIdle(life, deadline))) return false;
    if (!this.db.findIncarnation(life)) return true;
    await (depart?.(life) ?? propose(departureRecord(life)));
    return !this.db.findIncarnation(life);
  }

  /** @returns whether no runs are recorded at a worker in time for an answer. */
  private waitUntilIdle(life: Incarnation, deadline: number): Promise<boolean> {
    const {applied, clock} = this.options;
    const leftMs = Math.max(0, deadline - clock.now() - ANSWER_MARGIN_MS);
    const idle = applied.pipe(
      startWith(undefined),
      map(() => !this.db.findIncarnation(life)?.active.size),
      filter(Boolean),
    );
    const tooLate = clock.after(leftMs).pipe(map(() => false));
    return firstValueFrom(race(idle, tooLate));
  }
}

/**
 * Whether a deregistration can be of the registered incarnation itself. One that
 * states no start is believed of a worker that has said itself that it drains.
 */
const judge = (
  known: WorkerRegistration,
  {bornAt}: RemoveRequest,
): 'leaving' | 'no_start' | 'other_incarnation' => {
  if (known.bornAt === (bornAt ?? 0)) return 'leaving';
  if (bornAt !== null) return 'other_incarnation';
  return known.isDraining ? 'leaving' : 'no_start';
};

const refusal = ({worker}: RemoveRequest): CellError =>
  new CellError({
    code: 'invalid_input',
    step: 'deregister-worker',
    peer: worker,
    detail: 'born: needed for a worker that does not drain',
  });

const unsure = ({worker}: RemoveRequest): CellError =>
  new CellError({
    code: 'worker_unsure',
    step: 'deregister-worker',
    peer: worker,
    retryAfterMs: RETRY_AFTER_MS,
  });

const isUnsure = (err: unknown): boolean =>
  err instanceof CellError && err.code === 'worker_unsure';
