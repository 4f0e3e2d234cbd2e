/**
 * Requests advice about a workflow while its submission is still being recorded.
 * Load pattern: short interactive workflows at a leader whose records take as long
 * as a call to the adviser; one after the other, both would delay the first task.
 */
import type {Queue} from '../../bundle/types.js';
import type {CustomerName, WorkerId} from '../../ids/types.js';
import type {WorkflowDb} from '../db.js';
import {stepKey} from '../refs.js';
import type {StepSpec, WorkflowId, WorkflowSpec} from '../types.js';
import {chooseWorkersToQuery, type QueriedWorker} from './advice.js';
import {countUnderCap} from './customer_caps.js';
import type {AdviceRequest} from './types.js';
import {freeResourcesOf} from './views.js';

/** A workflow whose submission is being recorded. */
export interface NewWorkflow {
  readonly id: WorkflowId;
  readonly queue: Queue;
  readonly spec: WorkflowSpec;
  readonly customer?: CustomerName;
}

/** The state of the workers, as the planner would see them. */
export interface KnownWorkers {
  readonly db: Pick<WorkflowDb, 'workers' | 'customers' | 'usage'>;
  /** Workers that currently get no new tasks. */
  readonly unusable: ReadonlySet<WorkerId>;
}

/** Requests for the steps that can start as soon as the workflow is recorded. */
export const earlyAdviceRequests = (
  known: KnownWorkers,
  workflow: NewWorkflow,
): AdviceRequest[] => {
  const {id, queue, spec} = workflow;
  const {advice: timing} = queue;
  if (!timing || spec.firstDueAt > 0) return [];
  const requests: AdviceRequest[] = [];
  for (const [index, step] of spec.steps.entries()) {
    if (step.after.length > 0) continue;
    const taskCount = countStartable(known, workflow, step);
    if (taskCount === 0) continue;
    const ref = {workflow: id, occurrence: 0, step: index};
    const waiting = {
      key: stepKey(ref),
      spec: step,
      taskCount,
      timing,
    };
    const suitable = suitableWorkers(known, queue, step);
    const workers = chooseWorkersToQuery(waiting, suitable, undefined);
    if (workers.length > 0) requests.push({step: ref, workers});
  }
  return requests;
};

/** Number of tasks that the cap of the customer allows beside what it runs. */
const countStartable = (
  {db}: KnownWorkers,
  {customer}: NewWorkflow,
  {room, taskCount, isGang}: StepSpec,
): number => {
  const cap = customer === undefined ? undefined : db.customers.get(customer);
  if (!cap) return taskCount;
  const {declared} = db.usage.of(cap.name);
  const count = Math.min(taskCount, countUnderCap(room, declared, cap.cap));
  return isGang && count < taskCount ? 0 : count;
};

const suitableWorkers = (
  {db, unusable}: KnownWorkers,
  {pool}: Queue,
  {requiredLabel}: StepSpec,
): QueriedWorker[] => {
  const suitable: QueriedWorker[] = [];
  for (const [worker, state] of db.workers) {
    const {room, labels, ...report} = state.report;
    const isSuitable =
      report.pool === pool &&
      !unusable.has(worker) &&
      (requiredLabel === undefined || labels.includes(requiredLabel));
    if (isSuitable) suitable.push({worker, room, free: freeResourcesOf(state)});
  }
  return suitable;
};
