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

/** What was started on a worker of late. */
interface RecentStarts {
  /** Wall time of the latest start, in ms since 1970. */
  lastAt: number;
  /** The suspect started within SUSPECT_WINDOW_MS, if there is one. */
  suspect?: CrashUnit;
  /** Wall time of its start, in ms since 1970. */
  suspectAt: number;
}

/** Decides, for one pass, where suspects and other tasks may start. */
export class Quarantine {
  private readonly recent = new Map<WorkerId, RecentStarts>();
  /** Workers kept free of other starts for a suspect that waits. */
  private readonly held = new Set<WorkerId>();

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
    return candidates
      .filter(({worker}) => this.isQuiet(worker, unit))
      .sort((a, b) => this.runCount(a) - this.runCount(b));
  }

  /** Notes a start of this pass. */
  noteStart(task: TaskRef, worker: WorkerId): void {
    if (this.isActive) this.note(task, worker, this.input.wall);
  }

  /** Keeps the worker that is quiet the soonest free for a suspect that waits. */
  hold(candidates: readonly WorkerView[]): void {
    const free = candidates.filter(
      ({worker}) => !this.held.has(worker) && !this.recent.get(worker)?.suspect,
    );
    const lastAt = ({worker}: WorkerView): number =>
      this.recent.get(worker)?.lastAt ?? 0;
    const [first, ...others] = free;
    if (!first) return;
    const soonest = others.reduce(
      (best, other) => (lastAt(other) < lastAt(best) ? other : best),
      first,
    );
    this.held.add(soonest.worker);
  }

  /** What a suspect waits for that may start on some workers with room for it. */
  waitOf(task: TaskRef, fitting: readonly WorkerView[]): SuspectWait {
    const {crashes} = this.input.db;
    const since = crashes.latestCrashAt(crashes.unitOf(task));
    const quietAt = Math.min(...fitting.map(view => this.quietAt(view)));
    return {
      suspectCount: crashes.size,
      since: since ?? this.input.wall,
      ...(Number.isFinite(quietAt) && {quietAt}),
    };
  }

  private quietAt({worker}: WorkerView): number {
    const {lastAt = 0, suspect, suspectAt = 0} = this.recent.get(worker) ?? {};
    const windowMs = suspect ? SUSPECT_WINDOW_MS : CRASH_WINDOW_MS;
    const from = suspect ? suspectAt : lastAt;
    return Math.max(this.input.wall, from + windowMs);
  }

  private noteRuns(worker: WorkerId, {active}: WorkerState): void {
    const {wall} = this.input;
    for (const {task, startedAt = 0} of active.values())
      if (Math.abs(wall - startedAt) < SUSPECT_WINDOW_MS)
        this.note(task, worker, startedAt);
  }

  private note(task: TaskRef, worker: WorkerId, at: number): void {
    const known = this.recent.get(worker) ?? {lastAt: 0, suspectAt: 0};
    known.lastAt = Math.max(known.lastAt, at);
    if (this.isSuspect(task)) {
      known.suspect = this.input.db.crashes.unitOf(task);
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
    if (recent === undefined || recent.suspect === unit) return true;
    return recent.suspect === undefined && !this.isRecent(recent.lastAt);
  }

  private isRecent(at: number): boolean {
    return Math.abs(this.input.wall - at) < CRASH_WINDOW_MS;
  }

  private runCount({worker}: WorkerView): number {
    return this.input.db.workers.get(worker)?.active.size ?? 0;
  }
}
