/** Tells how a pass judged each worker for a step whose turn came. */
import type {WorkerId} from '../../ids/types.js';
import type {WorkflowDb} from '../db.js';
import {
  isBelowPerWorkerLimit,
  taskResources,
  type StepWork,
} from '../planner/step_work.js';
import type {StepScoring, WorkerView} from '../planner/types.js';
import {addResources, fitsInto} from '../resources.js';
import type {Resources} from '../types.js';
import {usedSpeedOf} from '../planner/expected_times.js';
import type {Candidate, RuledOut, RuledOutGroup} from './types.js';

/** Maximum number of candidates that are named. */
const MAX_CANDIDATES = 10;
/** Maximum number of workers that are named for one reason. */
const MAX_NAMED = 5;

/** What a pass found when the turn of a step came. */
export interface TurnReport {
  readonly work: StepWork;
  readonly candidates: readonly Candidate[];
  readonly candidateCount: number;
  readonly ruledOut: readonly RuledOutGroup[];
  /** Usable workers that may run the step, with what was free there. */
  readonly free: ReadonlyMap<WorkerId, Resources>;
}

/** Resources in which tasks and workers are measured. */
export const DIMENSIONS: ReadonlyArray<keyof Resources> = [
  'cpuMillis',
  'memMb',
  'gpus',
];

/** The first resource of which a size needs more than is free. */
const lackingIn = (size: Resources, free: Resources): keyof Resources =>
  DIMENSIONS.find(dimension => size[dimension] > free[dimension]) ??
  'cpuMillis';

/** Why a worker without a score can't start a task of a step. */
const ruledOutBy = (
  work: StepWork,
  view: WorkerView,
  {
    db,
    allowed,
    quiet,
  }: {
    readonly db: WorkflowDb;
    readonly allowed: ReadonlySet<WorkerView>;
    readonly quiet: ReadonlySet<WorkerView>;
  },
): RuledOut => {
  const {spec, queue, advice} = work;
  const size = taskResources(work);
  if (view.pool !== queue.pool) return {why: 'wrong_pool'};
  if (spec.requiredLabel !== undefined && !view.labels.has(spec.requiredLabel))
    return {why: 'label'};
  if (db.workers.get(view.worker)?.report.isDraining) return {why: 'draining'};
  if (!view.isUsable) return {why: 'not_usable'};
  if (!fitsInto(size, view.room))
    return {why: 'too_small', dimension: lackingIn(size, view.room)};
  if (!allowed.has(view))
    return {
      why: advice?.asked.has(view.worker)
        ? 'adviser_not_allowing'
        : 'adviser_not_asked',
    };
  if (!quiet.has(view)) return {why: 'kept_for_suspect'};
  if (!fitsInto(size, view.free)) {
    if (fitsInto(size, addResources(view.free, view.kept)))
      return {why: 'reserved'};
    return {why: 'room', dimension: lackingIn(size, view.free)};
  }
  if (!isBelowPerWorkerLimit(work, view)) return {why: 'per_worker'};
  return {why: 'not_usable'};
};

/** Groups of workers by why they are ruled out, the largest first. */
class RuledOutGroups {
  private readonly groups = new Map<
    string,
    {readonly reason: RuledOut; count: number; readonly workers: WorkerId[]}
  >();

  add(reason: RuledOut, worker: WorkerId): void {
    const key = JSON.stringify(reason);
    const known = this.groups.get(key) ?? {reason, count: 0, workers: []};
    this.groups.set(key, known);
    known.count++;
    if (known.workers.length < MAX_NAMED) known.workers.push(worker);
  }

  list(): RuledOutGroup[] {
    return [...this.groups.values()]
      .sort((a, b) => b.count - a.count)
      .map(({reason, count, workers}) => ({...reason, count, workers}));
  }
}

/** Reports the workers as they are when the turn of a step comes. */
export const reportTurn = (
  work: StepWork,
  {allowed, quiet, scoreOf}: StepScoring,
  {
    db,
    workers,
  }: {
    readonly db: WorkflowDb;
    readonly workers: ReadonlyMap<WorkerId, WorkerView>;
  },
): TurnReport => {
  const sets = {db, allowed: new Set(allowed), quiet: new Set(quiet)};
  const groups = new RuledOutGroups();
  const candidates: Candidate[] = [];
  for (const view of workers.values()) {
    const {worker} = view;
    const score = sets.quiet.has(view) ? scoreOf(view) : undefined;
    const report = db.workers.get(worker)?.report;
    if (score === undefined) groups.add(ruledOutBy(work, view, sets), worker);
    else
      candidates.push({
        worker,
        score,
        speed: report ? usedSpeedOf(db, report) : 1,
      });
  }
  // Equal scores keep the order in which the placer compares them.
  const order = new Map(quiet.map(({worker}, at) => [worker, at]));
  candidates.sort(
    (a, b) =>
      a.score - b.score ||
      (order.get(a.worker) ?? 0) - (order.get(b.worker) ?? 0),
  );
  return {
    work,
    candidates: candidates.slice(0, MAX_CANDIDATES),
    candidateCount: candidates.length,
    ruledOut: groups.list(),
    free: new Map(quiet.map(({worker, free}) => [worker, free])),
  };
};
