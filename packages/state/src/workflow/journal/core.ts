/**
 * The planner and its whole state, driven by events, so that an operator can
 * replay a journal to see why work was placed where it was.
 */
import type {Bundle, Customer} from '../../bundle/types.js';
import type {WorkerId} from '../../ids/types.js';
import type {DecisionNote} from '../../requests/types.js';
import {assertNever} from '../../utils/assert_never.js';
import {mapReviver} from '../../utils/image.js';
import {WorkflowDb} from '../db.js';
import {plan} from '../planner/core.js';
import type {
  Plan,
  PlanInput,
  PlannedStart,
  StepAdvice,
} from '../planner/types.js';
import {viewWorkers} from '../planner/views.js';
import {stepKey, taskKey} from '../refs.js';
import {hasActiveRuns} from '../task_state.js';
import type {StepKey, TaskKey, WorkflowImage, WorkflowSpec} from '../types.js';
import {journaledTimes} from './remaining.js';
import {AdviceRecord, reviveAdviceRecord} from './advice_record.js';
import type {AdviceChange, PassEvent, PlannerEvent} from './types.js';

/** Decisions of a pass, in a form that can be compared with a replay. */
export interface PassOutcome {
  /** Task, run, worker and ticket. */
  readonly starts: ReadonlyArray<readonly [TaskKey, number, WorkerId, string]>;
  /** Task, run, worker and reason. */
  readonly stops: ReadonlyArray<readonly [TaskKey, number, WorkerId, string]>;
  /** Step and the workers that its adviser is queried about. */
  readonly advice: ReadonlyArray<readonly [StepKey, readonly WorkerId[]]>;
}

/** Inputs of a pass other than its event. */
export interface PassContext {
  readonly db: WorkflowDb;
  readonly adviceOf: PlanInput['adviceOf'];
  readonly remainingMs: PlanInput['remainingMs'];
  readonly endsSoon: PlanInput['endsSoon'];
}

/** Computes the plan of one pass. */
export const decidePass = (pass: PassEvent, state: PassContext): Plan =>
  plan(planInputOf(pass, state));

/** All inputs of one pass; the views of workers are made when first asked for. */
export const planInputOf = (pass: PassEvent, state: PassContext): PlanInput => {
  const unusable = new Set(pass.unusable);
  let views: PlanInput['workers'] | undefined;
  const pending = new Map<TaskKey, WorkerId>(pass.heldBack);
  for (const [worker, key] of pass.expected) pending.set(key, worker);
  return {
    ...state,
    reserved: new Map(
      pass.reserved.map(([step, workers]) => [step, new Set(workers)]),
    ),
    preemptedAt: new Map(pass.preemptedAt),
    now: pass.now,
    wall: pass.wall,
    get workers() {
      views ??= viewWorkers(state.db, pass.expected, id => !unusable.has(id));
      return views;
    },
    pending,
    mayRun: [
      ...pass.heldBack,
      ...pass.expected.map(([worker, key]) => [key, worker] as const),
    ],
    stopping: new Set(pass.stopping),
    callerCount: pass.callerCount,
    ...(pass.mayDeferUseless && {mayDeferUseless: true}),
    ...(pass.mayShareZones && {mayShareZones: true}),
    ...(pass.mayAvoidFailed && {mayAvoidFailed: true}),
  };
};

/** Extracts the decisions of a plan that a replay must reproduce. */
export const outcomeOf = ({starts, stops, advice}: Plan): PassOutcome => ({
  starts: starts.map(({task, run, worker, ticket = ''}) => [
    taskKey(task),
    run,
    worker,
    ticket,
  ]),
  stops: stops.map(({task, run, worker, why}) => [
    taskKey(task),
    run,
    worker,
    why,
  ]),
  advice: advice.map(({step, workers}) => [stepKey(step), workers]),
});

/** Reasons for the decisions of a pass, by task. */
export const notesOf = ({starts, stops}: Plan): DecisionNote[] => [
  ...starts.map(({task, run, worker, checkpoint, expected}) => ({
    subject: taskKey(task),
    reason: `run ${run} starts on ${worker}${checkpoint === '' ? '' : ' from its checkpoint'}${expectedText(expected)}`,
  })),
  ...stops.map(({task, run, worker, why, inFavourOf}) => ({
    subject: taskKey(task),
    reason: `run ${run} on ${worker} is stopped: ${why}${inFavourOf ? ` in favour of ${inFavourOf}` : ''}`,
  })),
];

const expectedText = (expected: PlannedStart['expected']): string =>
  expected
    ? `, expected to take ${expected.ms} ms at speed ${expected.speed.toFixed(2)}`
    : '';

/** The planner as a replayable state machine. */
export class PlannerCore {
  constructor(
    private readonly db = new WorkflowDb(),
    private readonly advice = new Map<StepKey, AdviceRecord>(),
  ) {}

  /** Handles one event. */
  step(event: PlannerEvent): {
    readonly outcome: PassOutcome | null;
    readonly notes: readonly DecisionNote[];
  } {
    switch (event.kind) {
      case 'record':
        this.db.apply(event.index, event.command);
        return {outcome: null, notes: []};
      case 'advice':
        this.applyAdvice(event.step, event.change);
        return {outcome: null, notes: []};
      case 'pass':
        return this.decide(event);
      default:
        return assertNever(event);
    }
  }

  private applyAdvice(step: StepKey, change: AdviceChange): void {
    if (change.isDropped) return void this.advice.delete(step);
    const record = this.advice.get(step) ?? new AdviceRecord();
    record.apply(change);
    this.advice.set(step, record);
  }

  private decide(pass: PassEvent) {
    const times = journaledTimes(pass);
    const plan = decidePass(pass, {
      db: this.db,
      adviceOf: key => this.advice.get(key),
      remainingMs: (worker, key) => times.get(worker, key),
      endsSoon: worker => times.endsSoon(worker),
    });
    return {outcome: outcomeOf(plan), notes: notesOf(plan)};
  }
}

/** Serializable state of a planner. */
interface PlannerImage {
  readonly state: WorkflowImage;
  readonly advice: ReadonlyMap<StepKey, StepAdvice>;
}

/**
 * State of a planner at the start of a journal. Omits ended workflows without
 * active runs, and the payloads of the others, which do not affect placement.
 * The image shares objects with the live state, so it must be serialized before
 * that changes.
 */
export const plannerImage = (
  db: WorkflowDb,
  advice: ReadonlyMap<StepKey, StepAdvice>,
): PlannerImage => {
  const image = db.toImage();
  const kept = image.workflows.filter(
    ({id, occurrences}) =>
      db.open.has(id) ||
      occurrences.some(([, steps]) => steps.some(hasActiveRuns)),
  );
  return {
    state: {
      ...image,
      bundle: image.bundle && withoutSource(image.bundle),
      ...(image.customers && {customers: image.customers.map(withoutDigests)}),
      workflows: kept.map(workflow => ({
        ...workflow,
        spec: withoutPayload(workflow.spec),
      })),
    },
    advice,
  };
};

/**
 * Copies a specification without its payload, which is only passed to the
 * tasks.
 */
export const withoutPayload = (spec: WorkflowSpec): WorkflowSpec => ({
  ...spec,
  payload: '',
});

/**
 * Copies a bundle without its text, which is only returned to operators, and
 * without digests of keys, which no decision uses.
 */
export const withoutSource = (bundle: Bundle): Bundle => ({
  ...bundle,
  ...(bundle.customers && {customers: bundle.customers.map(withoutDigests)}),
  source: '',
});

const withoutDigests = (customer: Customer): Customer => ({
  ...customer,
  keyDigests: [],
});

const reviveAdvice = mapReviver(reviveAdviceRecord);

/** Restores a planner from its plain state. */
export const revivePlannerCore = (plain: unknown): PlannerCore => {
  const {state, advice} = plain as PlannerImage;
  const db = new WorkflowDb();
  db.restore(state);
  return new PlannerCore(
    db,
    reviveAdvice(advice) as Map<StepKey, AdviceRecord>,
  );
};
