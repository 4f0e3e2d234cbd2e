/** A step that is being placed, and the room that its tasks take on the way. */
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

/** A ticket is used only while it is valid for longer than an order may take. */
const TICKET_MARGIN_MS = 250;

/** A step with all that is known of it. */
export interface StepWork {
  readonly ready: ReadyStep;
  readonly workflow: WorkflowState;
  readonly queue: Queue;
  readonly spec: StepSpec;
  readonly state: StepState;
  readonly advice: StepAdvice | undefined;
  /** Tasks of the step on each worker, where a bound applies. */
  readonly taskCountByWorker: Map<WorkerId, number>;
  /** Rack in which its tasks should run, where that matters. */
  readonly homeRack?: string;
}

/** Room that a task of the step takes. */
export const taskResources = ({spec}: Pick<StepWork, 'spec'>): Resources =>
  spec.usesLeftover ? NO_RESOURCES : spec.room;

/** Room of a worker that a task may use: what can give way also uses kept room. */
export const usableResources = (
  {spec, ready}: StepWork,
  {free, kept, keptPriority}: WorkerView,
): Resources =>
  isPreemptible(spec) && ready.priority > keptPriority
    ? addResources(free, kept)
    : free;

/** Takes the room of one task on a worker. */
export const claimResources = (work: StepWork, worker: WorkerView): void => {
  const {taskCountByWorker: countOn} = work;
  worker.free = subtractResources(worker.free, taskResources(work));
  countOn.set(worker.worker, (countOn.get(worker.worker) ?? 0) + 1);
};

/** Gives the room of one task on a worker back. */
export const releaseResources = (work: StepWork, worker: WorkerView): void => {
  const {taskCountByWorker: countOn} = work;
  worker.free = addResources(worker.free, taskResources(work));
  countOn.set(worker.worker, (countOn.get(worker.worker) ?? 0) - 1);
};

/** Whether the bound for one worker leaves room for another task. */
export const isBelowPerWorkerLimit = (
  {spec, taskCountByWorker: countOn}: StepWork,
  {worker}: WorkerView,
): boolean =>
  spec.maxPerWorker === 0 || (countOn.get(worker) ?? 0) < spec.maxPerWorker;

/** Whether a worker is away from the data of a step. */
export const isAwayFromData = (
  {preferredRack}: StepSpec,
  {labels}: WorkerView,
): boolean => preferredRack !== undefined && !labels.has(preferredRack);

/** Whether a worker is outside the rack of a step that is slower when spread. */
export const isOutsideRack = (
  {homeRack}: StepWork,
  {rack}: WorkerView,
): boolean => homeRack !== undefined && rack !== homeRack;

/** The valid ticket of a step for a worker, at a monotonic time in ms. */
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

/** Tasks of a step on each worker, with the starts that are under way; empty without a bound. */
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

/** The checkpoint of any member is valid for its gang; the latest saves most. */
export const latestCheckpoint = ({tasks}: StepState): string => {
  const saved = tasks.filter(({checkpoint}) => checkpoint !== '');
  saved.sort((a, b) => b.checkpointRun - a.checkpointRun);
  return saved[0]?.checkpoint ?? '';
};
