/**
 * Expected times and critical paths of workflows, from the learned estimates.
 * Without learned times they are those of the clients' estimates.
 */
import type {Queue} from '../../bundle/types.js';
import type {WorkflowDb} from '../db.js';
import type {WorkerRegistration} from '../types.js';
import type {StepSpec, WorkflowSpec, WorkflowState} from '../types.js';
import type {StepWork} from './step_work.js';
import type {PlanInput} from './types.js';
import {chainsOf, computeChains, type Chains} from './ready.js';

/** Critical paths with the generation of the learned times that they hold. */
interface CachedChains {
  readonly generation: number;
  readonly chains: Chains;
}

/**
 * Only workflows without ended runs are cached, so that a value depends on
 * nothing but the replicated state.
 */
const CACHE = new WeakMap<WorkflowState, CachedChains>();

/** Expected time of one task of a step at speed 1, in ms. */
export const expectedMsOf = (
  {estimates}: Pick<WorkflowDb, 'estimates'>,
  {id, queue, spec}: WorkflowState,
  occurrence: number,
  index: number,
): number => {
  const step = spec.steps[index];
  if (!step) return 0;
  const ref = {workflow: id, occurrence, step: index};
  return estimates.expectedMs({queue, step: index, spec: step}, ref);
};

/** Critical paths of an occurrence by its expected times. */
export const expectedChains = (
  db: Pick<WorkflowDb, 'estimates'>,
  workflow: WorkflowState,
  occurrence: number,
): Chains => {
  const {estimates} = db;
  if (estimates.durations.usedCount === 0) return chainsOf(workflow.spec);
  const compute = (): Chains =>
    computeChains(workflow.spec, index =>
      expectedMsOf(db, workflow, occurrence, index),
    );
  if (estimates.hasEvidence(workflow.id)) return compute();
  const {generation} = estimates.durations;
  const known = CACHE.get(workflow);
  if (known?.generation === generation) return known.chains;
  const chains = compute();
  CACHE.set(workflow, {generation, chains});
  return chains;
};

/** Critical path of a workflow that is not accepted yet, in ms. */
export const expectedChainMs = (
  {estimates}: Pick<WorkflowDb, 'estimates'>,
  {name}: Queue,
  spec: WorkflowSpec,
): number => {
  if (estimates.durations.usedCount === 0) return chainsOf(spec).longestMs;
  return computeChains(spec, index => {
    const step = spec.steps[index];
    return step
      ? estimates.expectedMs({queue: name, step: index, spec: step})
      : 0;
  }).longestMs;
};

/** A step's specification with its expected time in place of the estimate. */
export const expectedSpec = (
  db: Pick<WorkflowDb, 'estimates'>,
  workflow: WorkflowState,
  index: number,
  spec: StepSpec,
): StepSpec =>
  db.estimates.durations.usedCount === 0
    ? spec
    : {...spec, estimateMs: expectedMsOf(db, workflow, 0, index)};

/** A step with its expected time in place of the estimate. */
export const withExpected = (
  work: StepWork,
  {db}: Pick<PlanInput, 'db'>,
): StepWork => {
  if (db.estimates.durations.usedCount === 0) return work;
  const {occurrence, step} = work.ready.ref;
  const estimateMs = expectedMsOf(db, work.workflow, occurrence, step);
  return {...work, spec: {...work.spec, estimateMs}};
};

/** Speed of a worker as far as speeds are known to differ; else 1. */
export const usedSpeedOf = (
  {estimates}: Pick<WorkflowDb, 'estimates'>,
  report: WorkerRegistration,
): number => (estimates.speeds.spread.isUneven ? estimates.speedOf(report) : 1);
