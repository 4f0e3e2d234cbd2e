/**
 * A step that is being placed, and the resources that its tasks claim
 * meanwhile.
 */
import type {Queue} from '../../bundle/types.js';
import type {WorkerId} from '../../ids/types.js';
import {taskKeyIn} from '../refs.js';
import {NO_RESOURCES, addResources, subtractResources} from '../resources.js';
import type {Resources, StepSpec, StepState, WorkflowState} from '../types.js';
import {isPreemptible} from '../preemptible_runs.js';
import type {
  PlanInput,
  ReadyStep,
  StepAdvice,
  Ticket,
  WorkerView,
} from './types.js';

/**
 * Minimum remaining validity of a ticket in use, in ms: the time for a start to
 * reach the worker.
 */
const TICKET_MARGIN_MS = 250;

/** A step with its state, specification and advice. */
export interface StepWork {
  readonly ready: ReadyStep;
  readonly workflow: WorkflowState;
  readonly queue: Queue;
  readonly spec: StepSpec;
  readonly state: StepState;
  readonly advice: StepAdvice | undefined;
  /** Number of the step's tasks on each worker, if the step limits it. */
  readonly taskCountByWorker: Map<WorkerId, number>;
  /** Rack in which its tasks should run, if the step is rack local. */
  readonly homeRack?: string;
}

/** Resources that a task of the step reserves. */
export const taskResources = ({spec}: Pick<StepWork, 'spec'>): Resources =>
  spec.usesLeftover ? NO_RESOURCES : spec.room;

/**
 * Resources of a worker that a task may use; a preemptible one may use reserved
 * ones too.
 */
export const usableResources = (
  {spec, ready}: StepWork,
  {free, kept, keptPriority}: WorkerView,
): Resources =>
  isPreemptible(spec) && ready.priority > keptPriority
    ? addResources(free, kept)
    : free;

/** Claims the resources of one task on a worker. */
export const claimResources = (work: StepWork, worker: WorkerView): void => {
  const {taskCountByWorker} = work;
  worker.free = subtractResources(worker.free, taskResources(work));
  taskCountByWorker.set(
    worker.worker,
    (taskCountByWorker.get(worker.worker) ?? 0) + 1,
  );
};

/** Releases the resources of one task on a worker. */
export const releaseResources = (work: StepWork, worker: WorkerView): void => {
  const {taskCountByWorker} = work;
  worker.free = addResources(worker.free, taskResources(work));
  taskCountByWorker.set(
    worker.worker,
    (taskCountByWorker.get(worker.worker) ?? 0) - 1,
  );
};

/** Whether the step's limit per worker allows another task. */
export const isBelowPerWorkerLimit = (
  {spec, taskCountByWorker}: StepWork,
  {worker}: WorkerView,
): boolean =>
  spec.maxPerWorker === 0 ||
  (taskCountByWorker.get(worker) ?? 0) < spec.maxPerWorker;

/** Whether a worker is outside the rack that holds the data of a step. */
export const isAwayFromData = (
  {preferredRack}: StepSpec,
  {labels}: WorkerView,
): boolean => preferredRack !== undefined && !labels.has(preferredRack);

/** Whether a worker is outside the home rack of a step. */
export const isOutsideRack = (
  {homeRack}: StepWork,
  {rack}: WorkerView,
): boolean => homeRack !== undefined && rack !== homeRack;

/**
 * The ticket of a step for a worker if it is valid at a monotonic time in ms.
 */
export const findTicket = (
  {advice}: StepWork,
  {worker, bornAt}: WorkerView,
  now: number,
): Ticket | undefined => {
  const ticket = advice?.tickets.get(worker);
  const isValid =
    ticket !== undefined &&
    ticket.bornAt === bornAt &&
    ticket.validUntil > now + TICKET_MARGIN_MS;
  return isValid ? ticket : undefined;
};

/**
 * Counts a step's active and pending tasks on each worker; empty if the step
 * sets no limit.
 */
export const countByWorker = (
  pending: PlanInput['pending'],
  {key}: ReadyStep,
  spec: StepSpec,
  state: StepState,
): Map<WorkerId, number> => {
  const counts = new Map<WorkerId, number>();
  if (spec.maxPerWorker === 0) return counts;
  const add = (worker: WorkerId): void =>
    void counts.set(worker, (counts.get(worker) ?? 0) + 1);
  state.tasks.forEach((task, index) => {
    for (const {worker} of task.active) add(worker);
    const pendingOn = pending.get(taskKeyIn(key, index));
    const isCounted = task.active.some(({worker}) => worker === pendingOn);
    if (pendingOn !== undefined && !isCounted) add(pendingOn);
  });
  return counts;
};

/**
 * Latest checkpoint of any task; a checkpoint of one member is valid for its
 * whole gang.
 */
export const latestCheckpoint = ({tasks}: StepState): string => {
  const saved = tasks.filter(({checkpoint}) => checkpoint !== '');
  saved.sort((a, b) => b.checkpointRun - a.checkpointRun);
  return saved[0]?.checkpoint ?? '';
};
