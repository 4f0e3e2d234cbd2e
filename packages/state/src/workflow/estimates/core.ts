/**
 * Learns run times and worker speeds from the ends of runs. A step's tasks are
 * alike, so their times, corrected by the speeds known so far, give the step's
 * time at speed 1, and each run's deviation from the others is a sample of its
 * worker's speed. Part of the replicated state: no clock, and the same on every
 * voter.
 */
import type {WorkerIncarnation, WorkflowId} from '../types.js';
import {TaskDurations, blend, guessesOf} from './durations.js';
import {clamp, setNewest, sorted, sortedMedian, toStored} from './numbers.js';
import type {
  EstimatedStep,
  EstimatesImage,
  RunSample,
  StepEvidence,
} from './types.js';
import {MAX_ID_LENGTH, WorkerSpeeds} from './worker_speeds.js';

/** Maximum number of workflows with evidence about their own steps. */
export const MAX_WORKFLOWS = 384;
/** Maximum number of runs that are kept for these, in total. */
const MAX_TOTAL_RUNS = 1536;
/** Maximum number of runs counted in a step, and of steps in a workflow. */
export const MAX_STEP_RUNS = 12;
const MAX_STEPS = 4;
/** Least number of runs of a step that tell the speeds of workers. */
const MIN_COMPARED_RUNS = 3;
/** Variance of the logarithm of one task's time within its step. */
const TASK_VARIANCE = 0.15;
/** Limits of a time, in ms, before its logarithm is used. */
const MIN_MS = 1;
const MAX_MS = 1e9;

/** Identifies a step within its workflow. */
export interface StepOfWorkflow {
  readonly workflow: WorkflowId;
  readonly occurrence: number;
  readonly step: number;
}

/** Learned run times and worker speeds. */
export class RunEstimates {
  readonly durations = new TaskDurations();
  readonly speeds = new WorkerSpeeds();
  private readonly steps = new Map<WorkflowId, readonly StepEvidence[]>();
  private totalRuns = 0;

  /** Whether the steps of a workflow have ended runs of their own. */
  hasEvidence(workflow: WorkflowId): boolean {
    return this.steps.has(workflow);
  }

  /** Expected time of one task at speed 1, in ms. */
  expectedMs(step: EstimatedStep, ref?: StepOfWorkflow): number {
    const used = this.durations.usedFor(step);
    if (!used) return step.spec.estimateMs;
    const guesses = guessesOf(used, step.spec.estimateMs);
    const own = ref && this.evidenceOf(ref);
    const all = own
      ? [...guesses, {log: own.logWork, variance: TASK_VARIANCE / own.count}]
      : guesses;
    return Math.round(Math.exp(blend(all)));
  }

  /** Relative speed of a worker; 1 for one that is not known. */
  speedOf(life: WorkerIncarnation): number {
    return Math.exp(this.speeds.logOf(life));
  }

  /** Notes the time of a run of a step, which is not a gang. */
  noteRun(ref: StepOfWorkflow, life: WorkerIncarnation, ms: number): void {
    this.addRun(ref, [life.worker, life.bornAt, logOf(ms)]);
  }

  /**
   * Notes the time of a gang, which runs at the speed of its slowest worker and
   * so tells nothing about the others.
   */
  noteGang(
    ref: StepOfWorkflow,
    lives: readonly WorkerIncarnation[],
    ms: number,
  ): void {
    const [first, ...others] = lives;
    if (!first) return;
    let slowest = first;
    for (const life of others)
      if (this.speeds.logOf(life) < this.speeds.logOf(slowest)) slowest = life;
    this.addRun(ref, [slowest.worker, slowest.bornAt, logOf(ms)]);
  }

  /** Learns from a step that is done. */
  complete(ref: StepOfWorkflow, step: EstimatedStep, at: number): void {
    const own = this.evidenceOf(ref);
    if (!own || own.runs.length === 0) return;
    this.durations.note(step, own.logWork);
    this.learnSpeeds(own.runs, at);
    this.replace(ref.workflow, {...own, runs: []});
  }

  /** Drops the evidence about a workflow that has ended. */
  forget(workflow: WorkflowId): void {
    this.totalRuns -= countRuns(this.steps.get(workflow) ?? []);
    this.steps.delete(workflow);
  }

  /** Plain data of everything learned; undefined if that is nothing. */
  toImage(): EstimatesImage | undefined {
    const {durations, speeds, steps} = this;
    if (durations.size === 0 && speeds.size === 0 && steps.size === 0)
      return undefined;
    return {
      durations: durations.toImage(),
      speeds: speeds.toImage(),
      steps: [...steps],
    };
  }

  /** Replaces everything learned; an older image has nothing. */
  restore(image: EstimatesImage | undefined): void {
    this.durations.restore(image?.durations ?? []);
    if (image) this.speeds.restore(image.speeds);
    else this.speeds.clear();
    this.steps.clear();
    this.totalRuns = 0;
    for (const [workflow, steps] of image?.steps ?? []) {
      this.steps.set(workflow, steps);
      this.totalRuns += countRuns(steps);
    }
  }

  private learnSpeeds(runs: readonly RunSample[], at: number): void {
    if (runs.length < MIN_COMPARED_RUNS) return;
    const works = runs.map(run => this.workOf(run));
    // All samples are taken before the first of them changes a speed.
    const samples = runs.map(([, , logMs], i) => {
      const others = works.filter((_, other) => other !== i);
      return sortedMedian(sorted(others)) - logMs;
    });
    runs.forEach(([worker, bornAt], i) =>
      this.speeds.note({worker, bornAt}, samples[i] ?? 0, at),
    );
  }

  /** Logarithm of the time that a run would have taken at speed 1, in ms. */
  private workOf([worker, bornAt, logMs]: RunSample): number {
    return logMs + this.speeds.logOf({worker, bornAt});
  }

  private evidenceOf(ref: StepOfWorkflow): StepEvidence | undefined {
    return this.steps.get(ref.workflow)?.find(isStep(ref));
  }

  private addRun(ref: StepOfWorkflow, run: RunSample): void {
    const {workflow, occurrence, step} = ref;
    if (Math.max(workflow.length, run[0].length) > MAX_ID_LENGTH) return;
    const runs = [...(this.evidenceOf(ref)?.runs ?? []), run];
    if (runs.length > MAX_STEP_RUNS) return;
    const works = sorted(runs.map(item => this.workOf(item)));
    this.replace(workflow, {
      occurrence,
      step,
      count: runs.length,
      logWork: toStored(sortedMedian(works)),
      runs,
    });
  }

  private replace(workflow: WorkflowId, next: StepEvidence): void {
    const known = this.steps.get(workflow) ?? [];
    const isSame = isStep(next);
    const others = known.filter(item => !isSame(item)).slice(1 - MAX_STEPS);
    const steps = [...others, next];
    this.totalRuns += countRuns(steps) - countRuns(known);
    setNewest(this.steps, workflow, steps);
    for (const oldest of this.steps.keys()) {
      const isWithin =
        this.steps.size <= MAX_WORKFLOWS && this.totalRuns <= MAX_TOTAL_RUNS;
      if (isWithin) return;
      this.forget(oldest);
    }
  }
}

const isStep =
  ({occurrence, step}: Pick<StepOfWorkflow, 'occurrence' | 'step'>) =>
  (item: StepEvidence): boolean =>
    item.occurrence === occurrence && item.step === step;

const countRuns = (steps: readonly StepEvidence[]): number =>
  steps.reduce((sum, {runs}) => sum + runs.length, 0);

const logOf = (ms: number): number =>
  toStored(Math.log(clamp(ms, MIN_MS, MAX_MS)));
