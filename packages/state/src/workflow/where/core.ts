/**
 * Explains where a job would go if it were submitted now, and why, by the same
 * cores as the real decision. Nothing is submitted, and the state stays as it is.
 */
import {decideAdmission} from '../admission/core.js';
import {findExceededCap, findExceededLimit} from '../admission/limits.js';
import {acceptedWorkflow} from '../accepted_workflow.js';
import type {Admission} from '../admission/types.js';
import {plan} from '../planner/core.js';
import type {Plan, PlanInput} from '../planner/types.js';
import type {StepRef, WorkflowId, WorkflowState} from '../types.js';
import {findBinding} from './binding.js';
import {customerAnswer} from './customer_answer.js';
import {withTimes, type UntimedStep} from './expected.js';
import {withWorkflow} from './hypothetical.js';
import {reportTurn, type TurnReport} from './step_report.js';
import type {
  AdmissionAnswer,
  CustomerAnswer,
  PlacementAnswer,
  PlacementQuestion,
  StepStart,
  StepWait,
} from './types.js';

/** Id of a job without one; no id that a client can choose has this form. */
const UNSENT_ID = '?' as WorkflowId;

/** Decides as the leader does on a submission, after its checks of load. */
const admit = (
  {db, wall}: PlanInput,
  {queue, spec, customer, id = UNSENT_ID}: PlacementQuestion,
): Admission | Extract<AdmissionAnswer, {readonly detail: string}> => {
  const limit = findExceededLimit(spec);
  if (limit !== undefined)
    return {kind: 'rejected', why: 'too_large', detail: limit};
  const detail = customer && findExceededCap(spec, customer);
  if (detail !== undefined)
    return {kind: 'rejected', why: 'cap_exceeded', detail};
  return decideAdmission(db, queue, spec, {
    id,
    wall,
    ...(customer && {customer: customer.name}),
  });
};

const admissionAnswer = (
  admission: ReturnType<typeof admit>,
): AdmissionAnswer => {
  if (admission.kind === 'rejected') return admission;
  if (admission.kind === 'admit')
    return {kind: 'admitted', isBeyondRate: admission.isBeyondRate === true};
  const why = admission.kind === 'refuse' ? 'backlog' : admission.kind;
  return {kind: 'rejected', why, retryAfterMs: admission.retryAfterMs};
};

/**
 * Explains where a job would go.
 * @param input - inputs of a pass that begins now; its views of workers are used up.
 */
export const explainPlacement = (
  input: PlanInput,
  question: PlacementQuestion,
): PlacementAnswer => {
  const {queue, spec, customer, zone, id = UNSENT_ID} = question;
  const {workers} = input;
  const [first] = spec.steps;
  const payer =
    customer && first
      ? customerAnswer(customer, queue, {input, spec: first})
      : undefined;
  const admission = admit(input, question);
  const {name, pool, priority} = queue;
  const answer = {
    at: input.wall,
    queue: {name, pool, priority},
    ...(payer && {customer: payer}),
    admission: admissionAnswer(admission),
  };
  if (admission.kind !== 'admit') return {...answer, steps: []};
  const workflow = acceptedWorkflow({
    kind: 'submit',
    id,
    queue: name,
    spec,
    at: input.wall,
    ...(customer && {customer: customer.name}),
    ...(zone !== undefined && {zone}),
    ...(admission.isBeyondRate && {isBeyondRate: true}),
  });
  const db = withWorkflow(input.db, workflow);
  const trial = new Trial({...input, db, workers}, workflow, payer);
  const {expectedMs} = admission;
  const {starts} = trial;
  const steps = withTimes({db, workflow, starts, expectedMs}, trial.steps());
  const ends = steps.map(({endMs}) => endMs);
  const isKnown = ends.every(endMs => endMs !== undefined);
  return {...answer, steps, ...(isKnown && {endMs: Math.max(0, ...ends)})};
};

/** One pass over a state with the job. */
class Trial {
  private readonly turns = new Map<number, TurnReport>();
  private readonly plan: Plan;
  private readonly freeAtStart;

  constructor(
    input: PlanInput,
    private readonly workflow: WorkflowState,
    private readonly customer: CustomerAnswer | undefined,
  ) {
    this.freeAtStart = new Map(
      [...input.workers].map(([worker, {free}]) => [worker, free]),
    );
    this.plan = plan({
      ...input,
      onTurn: (work, scoring) => {
        const {ref} = work.ready;
        if (!this.isOwn(ref)) return;
        this.turns.set(ref.step, reportTurn(work, scoring(), input));
      },
    });
  }

  /** Starts of the first occurrence. */
  get starts(): Plan['starts'] {
    return this.plan.starts.filter(({task}) => this.isOwn(task));
  }

  steps(): UntimedStep[] {
    return this.workflow.spec.steps.map(({after}, step): UntimedStep => {
      const turn = this.turns.get(step);
      if (!turn) return {kind: 'later', step, after};
      const {candidates, candidateCount, ruledOut} = turn;
      const starts = this.startsOf(step);
      const wait = this.waitOf(step, turn, starts);
      return {
        kind: 'ready',
        step,
        starts,
        ...(wait && {wait}),
        candidates,
        candidateCount,
        ruledOut,
      };
    });
  }

  private startsOf(step: number): StepStart[] {
    const counts = new Map<StepStart['worker'], number>();
    for (const {task, worker} of this.starts)
      if (task.step === step) counts.set(worker, (counts.get(worker) ?? 0) + 1);
    return [...counts].map(([worker, taskCount]) => ({worker, taskCount}));
  }

  private waitOf(
    step: number,
    turn: TurnReport,
    starts: readonly StepStart[],
  ): StepWait | undefined {
    const wait = this.plan.waits.find(
      ({step: ref}) => this.isOwn(ref) && ref.step === step,
    );
    if (!wait) return undefined;
    const binding = findBinding(wait, {
      turn,
      freeAtStart: this.freeAtStart,
      ...(this.customer && {customer: this.customer}),
    });
    const started = starts.reduce((sum, {taskCount}) => sum + taskCount, 0);
    const taskCount = turn.work.spec.taskCount - started;
    return {why: wait.why, taskCount, binding};
  }

  private isOwn({workflow, occurrence}: StepRef): boolean {
    return workflow === this.workflow.id && occurrence === 0;
  }
}
