/**
 * Keeps suspects, tasks under which a worker has crashed, apart from all other
 * starts, so that the next crash blames one task alone and harms few. Load
 * pattern: some tasks crash each worker that starts them, beside dozens of
 * innocent runs that were started in the same second.
 */
import type {WorkerId} from '../../ids/types.js';
import {CRASH_WINDOW_MS, SUSPECT_WINDOW_MS} from '../crashes/core.js';
import type {CrashUnit} from '../crashes/types.js';
import {taskRefOf} from '../refs.js';
import type {TaskRef, WorkerState} from '../types.js';
import type {PlanInput, SuspectWait, WorkerView} from './types.js';

type Inputs = Pick<PlanInput, 'db' | 'pending' | 'wall'>;

/**
 * Time for which a suspect waits for a worker of its own, in ms; shorter after a
 * crash out of sight, as behind a cut, which seldom comes from a task.
 */
const ALONE_WAIT_MS = 3000;
const DARK_ALONE_WAIT_MS = 1000;
/** Time after the first suspect's start within which others may join it, in ms. */
const JOIN_MS = 250;

/** What was started on a worker of late. */
interface RecentStarts {
  /** Wall time of the latest start, in ms since 1970. */
  lastAt: number;
  /** The suspects started within SUSPECT_WINDOW_MS. */
  readonly suspects: Set<CrashUnit>;
  /** Wall times of the first and the latest start of them, in ms since 1970. */
  firstSuspectAt: number;
  suspectAt: number;
}

/** Decides, for one pass, where suspects and other tasks may start. */
export class Quarantine {
  private readonly recent = new Map<WorkerId, RecentStarts>();
  /** Workers kept free of other starts for suspects that wait, and for how many more. */
  private readonly held = new Map<WorkerId, number>();

  constructor(private readonly input: Inputs) {
    if (!this.isActive) return;
    for (const [worker, state] of input.db.workers)
      this.noteRuns(worker, state);
    for (const [key, worker] of input.pending)
      this.note(taskRefOf(key), worker, input.wall);
  }

  /** Whether there are suspects; if not, a pass is planned as ever. */
  get isActive(): boolean {
    return this.input.db.crashes.size > 0;
  }

  isSuspect(task: TaskRef): boolean {
    const {crashes} = this.input.db;
    return this.isActive && crashes.isSuspect(crashes.unitOf(task));
  }

  /** Workers on which a task may start, those that it would harm least first. */
  workersFor(
    task: TaskRef,
    candidates: readonly WorkerView[],
  ): readonly WorkerView[] {
    if (!this.isActive) return candidates;
    if (!this.isSuspect(task))
      return candidates.filter(({worker}) => !this.isClosed(worker));
    const unit = this.input.db.crashes.unitOf(task);
    const quiet = candidates
      .filter(({worker}) => this.isQuiet(worker, unit))
      .sort((a, b) => this.runCount(a) - this.runCount(b));
    if (!this.mayShare(unit)) return quiet;
    const shared = candidates.filter(({worker}) => this.mayJoin(worker, unit));
    return [...quiet, ...shared];
  }

  /** Notes a start of this pass. */
  noteStart(task: TaskRef, worker: WorkerId): void {
    if (this.isActive) this.note(task, worker, this.input.wall);
  }

  /**
   * Keeps the worker that is quiet the soonest free for a suspect that waits; those
   * that may share a worker by then are counted on one.
   */
  hold(task: TaskRef, candidates: readonly WorkerView[]): void {
    const {crashes} = this.input.db;
    const limit = crashes.groupLimit(crashes.unitOf(task));
    if (limit > 1 && this.shareHeld(candidates)) return;
    const free = candidates.filter(
      ({worker}) => !this.held.has(worker) && !this.hasSuspect(worker),
    );
    const lastAt = ({worker}: WorkerView): number =>
      this.recent.get(worker)?.lastAt ?? 0;
    const [first, ...others] = free;
    if (!first) return;
    const soonest = others.reduce(
      (best, other) => (lastAt(other) < lastAt(best) ? other : best),
      first,
    );
    this.held.set(soonest.worker, limit - 1);
  }

  private shareHeld(candidates: readonly WorkerView[]): boolean {
    const shared = candidates.find(
      ({worker}) => (this.held.get(worker) ?? 0) > 0,
    );
    if (!shared) return false;
    this.held.set(shared.worker, this.held.get(shared.worker)! - 1);
    return true;
  }

  /** What a suspect waits for that may start on some workers with room for it. */
  waitOf(task: TaskRef, fitting: readonly WorkerView[]): SuspectWait {
    const {crashes} = this.input.db;
    const since = crashes.latestCrash(crashes.unitOf(task))?.at;
    const quietAt = Math.min(...fitting.map(view => this.quietAt(view)));
    return {
      suspectCount: crashes.size,
      since: since ?? this.input.wall,
      ...(Number.isFinite(quietAt) && {quietAt}),
    };
  }

  private quietAt({worker}: WorkerView): number {
    const recent = this.recent.get(worker);
    const quietAt = this.hasSuspect(worker)
      ? recent!.suspectAt + SUSPECT_WINDOW_MS
      : (recent?.lastAt ?? 0) + CRASH_WINDOW_MS;
    return Math.max(this.input.wall, quietAt);
  }

  private noteRuns(worker: WorkerId, {active}: WorkerState): void {
    const {wall} = this.input;
    for (const {task, startedAt = 0} of active.values())
      if (Math.abs(wall - startedAt) < SUSPECT_WINDOW_MS)
        this.note(task, worker, startedAt);
  }

  private note(task: TaskRef, worker: WorkerId, at: number): void {
    const known = this.recent.get(worker) ?? {
      lastAt: 0,
      suspects: new Set<CrashUnit>(),
      firstSuspectAt: Number.POSITIVE_INFINITY,
      suspectAt: 0,
    };
    known.lastAt = Math.max(known.lastAt, at);
    if (this.isSuspect(task)) {
      known.suspects.add(this.input.db.crashes.unitOf(task));
      known.firstSuspectAt = Math.min(known.firstSuspectAt, at);
      known.suspectAt = Math.max(known.suspectAt, at);
    }
    this.recent.set(worker, known);
  }

  private isClosed(worker: WorkerId): boolean {
    const {suspectAt = 0} = this.recent.get(worker) ?? {};
    return this.held.has(worker) || this.isRecent(suspectAt);
  }

  /** Whether nothing was started there but the unit itself, such as its gang. */
  private isQuiet(worker: WorkerId, unit: CrashUnit): boolean {
    const recent = this.recent.get(worker);
    if (recent === undefined) return true;
    if (recent.suspects.size === 0) return !this.isRecent(recent.lastAt);
    return recent.suspects.size === 1 && recent.suspects.has(unit);
  }

  /** Whether a unit has waited too long to have a worker to itself. */
  private mayShare(unit: CrashUnit): boolean {
    const {db, wall} = this.input;
    const latest = db.crashes.latestCrash(unit);
    if (!latest || db.crashes.groupLimit(unit) === 1) return false;
    const waitMs = latest.isDark ? DARK_ALONE_WAIT_MS : ALONE_WAIT_MS;
    return Math.abs(wall - latest.at) >= waitMs;
  }

  /** Whether a unit may start beside suspects that have just been started. */
  private mayJoin(worker: WorkerId, unit: CrashUnit): boolean {
    const recent = this.recent.get(worker);
    if (!recent || recent.suspects.size === 0) return false;
    if (Math.abs(this.input.wall - recent.firstSuspectAt) > JOIN_MS)
      return false;
    const units = [unit, ...recent.suspects];
    return units.every(
      member => this.input.db.crashes.groupLimit(member) >= units.length,
    );
  }

  private hasSuspect(worker: WorkerId): boolean {
    return (this.recent.get(worker)?.suspects.size ?? 0) > 0;
  }

  private isRecent(at: number): boolean {
    return Math.abs(this.input.wall - at) < CRASH_WINDOW_MS;
  }

  private runCount({worker}: WorkerView): number {
    return this.input.db.workers.get(worker)?.active.size ?? 0;
  }
}
