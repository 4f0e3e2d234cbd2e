/**
 * Finds runs to evacuate from draining workers. Load pattern: workers are
 * withdrawn at short notice; a run that saves a checkpoint when it is stopped
 * would otherwise lose its progress since the last one.
 */
import type {WorkerId} from '../../ids/types.js';
import {stepKey} from '../refs.js';
import type {
  StepKey,
  StepSpec,
  TaskKey,
  TaskRef,
  WorkerIncarnation,
  WorkflowState,
} from '../types.js';
import type {PlanInput, PlannedStop} from './types.js';

/**
 * Margin by which a run must end before its worker leaves, for the stop itself,
 * in ms.
 */
const STOP_MARGIN_MS = 300;

/**
 * Runs to stop because their worker leaves before they end; a gang is evacuated
 * as a whole.
 */
export const findEvacuations = (input: PlanInput): PlannedStop[] => {
  const stops: PlannedStop[] = [];
  const gangs = new Map<StepKey, number>();
  for (const [worker, {report, active}] of input.db.workers) {
    if (!report.isDraining) continue;
    for (const [key, {task, run}] of active) {
      const spec = resumableSpec(
        input.db.workflows.get(task.workflow),
        task.step,
      );
      if (!spec || !outlastsWorker(input, worker, key, spec)) continue;
      if (spec.isGang) gangs.set(stepKey(task), run);
      else if (!input.pending.has(key)) stops.push(stopOf(report, task, run));
    }
  }
  return gangs.size > 0 ? [...stops, ...gangStops(input, gangs)] : stops;
};

/** The step of a task, if its runs can resume elsewhere from a checkpoint. */
const resumableSpec = (
  workflow: WorkflowState | undefined,
  step: number,
): StepSpec | undefined => {
  const spec = workflow?.spec.steps[step];
  const isResumable =
    workflow?.phase === 'open' &&
    spec?.isCheckpointable === true &&
    !spec.isLongRunning;
  return isResumable ? spec : undefined;
};

const outlastsWorker = (
  {db, remainingMs}: PlanInput,
  worker: WorkerId,
  key: TaskKey,
  {estimateMs}: StepSpec,
): boolean => {
  const leftMs = db.workers.get(worker)?.report.remainingMs ?? 0;
  return (remainingMs(worker, key) ?? estimateMs) + STOP_MARGIN_MS > leftMs;
};

/** Stops for all members of the gangs, on whichever worker they run. */
const gangStops = (
  {db, pending}: PlanInput,
  gangs: ReadonlyMap<StepKey, number>,
): PlannedStop[] =>
  [...db.workers.values()].flatMap(({report, active}) =>
    [...active]
      .filter(([, {task, run}]) => gangs.get(stepKey(task)) === run)
      .filter(([key]) => !pending.has(key))
      .map(([, {task, run}]) => stopOf(report, task, run)),
  );

const stopOf = (
  {worker, bornAt}: WorkerIncarnation,
  task: TaskRef,
  run: number,
): PlannedStop => ({worker, bornAt, task, run, why: 'evacuated'});
