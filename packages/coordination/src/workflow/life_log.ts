/**
 * Logs how incarnations of workers begin and end at the leader, and which runs
 * are given up: the leader takes them for ended without their worker's list of
 * that end, and starts their tasks anew.
 */
import type Logger from 'bunyan';
import {
  taskKey,
  type VoidReason,
  type WorkerId,
  type WorkerIncarnation as Incarnation,
  type WorkerRegistration,
  type WorkflowDb,
} from '@primrosewick/state';
import type {RunRef} from './run_lists.js';

/** Maximum number of runs of one record that get a line each. */
export const MAX_VOID_LINES = 32;

/** How the leader came to hold that an incarnation of a worker has ended. */
export type DepartureWay =
  /** It has deregistered, and all its runs are over. */
  | 'deregistered'
  /** Another incarnation answered an order at the address of its runs. */
  | 'other_life';

/** Why a run is given up: by a record of its own, or with its worker. */
export type GivenUpReason = VoidReason | DepartureWay;

/** Runs that are given up by one record. */
export interface GivenUpRuns {
  readonly life: Incarnation;
  readonly runs: readonly RunRef[];
  readonly reason: GivenUpReason;
  /** Whether the record is known to be in the log. */
  readonly isConfirmed: boolean;
}

/** An incarnation as the leader knows it just before it is removed. */
export interface Departing {
  readonly life: Incarnation;
  readonly address: string | undefined;
  /** All of its recorded runs. */
  readonly runs: readonly RunRef[];
  readonly why: DepartureWay;
  /** Time since it last answered this leader, in ms; undefined if it never did. */
  readonly heardAgoMs: number | undefined;
}

/** What came of a deregistration. */
export type DeregistrationOutcome =
  | 'removed'
  /** Its runs are not over yet. */
  | 'leaving'
  /** It states no start, though that of the worker is known. */
  | 'no_start'
  /** The record may be in the log or not; the next leader finds out. */
  | 'unconfirmed'
  | 'unknown_worker'
  | 'other_incarnation';

/** A deregistration that was handled. */
export interface Deregistration {
  readonly worker: WorkerId;
  /** Start of the incarnation that it names; null if it names none. */
  readonly bornAt: number | null;
  /** The incarnation that was registered, and the number of its runs. */
  readonly known: {readonly bornAt: number; readonly runCount: number} | null;
  readonly outcome: DeregistrationOutcome;
}

/** Options of {@link LifeLog}. */
export interface LifeLogOptions {
  readonly logger: Logger;
  readonly db: () => WorkflowDb;
  /** Called with the number of runs that a confirmed record gives up. */
  readonly onGivenUp?: (reason: GivenUpReason, count: number) => void;
}

/** Logs beginnings and ends of incarnations, and runs that are given up. */
export class LifeLog {
  constructor(private readonly options: LifeLogOptions) {}

  /** What is known of an incarnation that is about to be removed. */
  departing(
    life: Incarnation,
    why: DepartureWay,
    heardAgoMs: number | undefined,
  ): Departing {
    const {worker, bornAt} = life;
    const state = this.options.db().findIncarnation(life);
    return {
      life: {worker, bornAt},
      address: state?.report.address,
      runs: [...(state?.active.values() ?? [])],
      why,
      heardAgoMs,
    };
  }

  /** Notes an incarnation whose removal was proposed, and all of its runs. */
  gone(departing: Departing, isConfirmed: boolean): void {
    const {life, address, runs, why, heardAgoMs} = departing;
    this.options.logger.info(
      {
        change: 'worker_gone',
        ...life,
        address,
        why,
        runCount: runs.length,
        heardAgoMs,
        index: this.options.db().index,
        ...(isConfirmed ? {} : {isConfirmed}),
      },
      'the incarnation of a worker counts as ended, and so do its runs',
    );
    this.givenUp({life, runs, reason: why, isConfirmed});
  }

  /** Notes runs that a proposed record gives up. */
  givenUp({life, runs, reason, isConfirmed}: GivenUpRuns): void {
    const told = runs.slice(0, MAX_VOID_LINES);
    const skipped = runs.length - told.length;
    for (const [i, {task, run}] of told.entries())
      this.options.logger.info(
        {
          decision: 'run_void',
          task: taskKey(task),
          run,
          worker: life.worker,
          bornAt: life.bornAt,
          reason,
          ...(isConfirmed ? {} : {isConfirmed}),
          ...(skipped > 0 && i === told.length - 1 ? {skipped} : {}),
        },
        'gave up a recorded run without an end',
      );
    if (isConfirmed && runs.length > 0)
      this.options.onGivenUp?.(reason, runs.length);
  }

  /** Notes what came of a deregistration. */
  deregistered({worker, bornAt, known, outcome}: Deregistration): void {
    this.options.logger.info(
      {
        decision: 'deregister',
        worker,
        bornAt,
        knownBornAt: known?.bornAt ?? null,
        runCount: known?.runCount ?? 0,
        outcome,
      },
      'handled the deregistration of a worker',
    );
  }

  /** Notes a recorded announcement, with the one that was known before. */
  announced(
    report: WorkerRegistration,
    previous: WorkerRegistration | undefined,
  ): void {
    const {worker, bornAt, sequence, address, isDraining} = report;
    const isMoved = previous && previous.address !== address;
    const isReborn = previous && previous.bornAt !== bornAt;
    this.options.logger.info(
      {
        change: isDraining ? 'worker_draining' : 'worker_registered',
        worker,
        bornAt,
        sequence,
        address,
        ...(isMoved ? {previousAddress: previous.address} : {}),
        ...(isReborn ? {previousBornAt: previous.bornAt} : {}),
      },
      'recorded a worker announcement',
    );
  }
}
