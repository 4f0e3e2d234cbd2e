/**
 * Learns which kinds of tasks slow each other down on one worker. Load pattern:
 * pairs of images that disturb each other, between slow workers, single runs
 * that take many times longer, and bursts that slow down everything. Members of
 * one step are alike: those beside a kind are compared with those that ran at
 * the same time without it, at the learned speeds of their workers. Part of the
 * replicated state: no clock, and the same on every voter.
 */
import type {WorkerId} from '../../ids/types.js';
import type {StepOfWorkflow} from '../estimates/core.js';
import {setNewest, sorted, sortedMedian} from '../estimates/numbers.js';
import type {WorkerSpeeds} from '../estimates/worker_speeds.js';
import type {WorkerIncarnation, WorkflowId} from '../types.js';
import {MIN_BESIDE, addBusyTime} from './neighbours.js';
import {DisturbingPairs} from './pairs.js';
import type {
  BusyTime,
  ComparedRun,
  ComparedStep,
  InterferenceImage,
  Neighbour,
  TaskKind,
} from './types.js';

/** Workers whose latest ended runs are remembered. */
export const MAX_BUSY_WORKERS = 512;
/** Runs to compare, in total and in a step, and steps of one workflow. */
export const MAX_TOTAL_RUNS = 512;
const MAX_RUNS = 12;
const MAX_STEPS = 3;
/** Members without a neighbour that a run is compared with. */
const MIN_OTHERS = 2;
/** Fraction of the shorter run in which two runs must overlap. */
const MIN_OVERLAP = 0.5;
/** Fraction of an end that each of several neighbours counts as. */
const SHARED_GAIN = 0.5;

/** Learned disturbance between kinds of tasks. */
export class Interference {
  readonly pairs = new DisturbingPairs();
  private readonly busy = new Map<WorkerId, readonly BusyTime[]>();
  private readonly steps = new Map<WorkflowId, readonly ComparedStep[]>();
  private totalRuns = 0;

  /** Latest times of ended runs on a worker. */
  busyOn(worker: WorkerId): readonly BusyTime[] {
    return this.busy.get(worker) ?? [];
  }

  /** Notes a run that has ended, whatever its outcome. */
  noteEnded(worker: WorkerId, time: BusyTime): void {
    const times = addBusyTime(this.busyOn(worker), time);
    setNewest(this.busy, worker, times, MAX_BUSY_WORKERS);
  }

  /** Logarithm of the ratio by which neighbours are known to slow a victim. */
  knownLog(
    victim: TaskKind,
    neighbours: readonly Neighbour[],
    at: number,
    except?: TaskKind,
  ): number {
    let sum = 0;
    for (const [kind, fraction] of neighbours)
      if (kind !== except) sum += fraction * this.pairs.logOf(victim, kind, at);
    return sum;
  }

  /** Notes a run that is compared with the others of its step. */
  noteRun(ref: StepOfWorkflow, run: ComparedRun): void {
    const {workflow, occurrence, step} = ref;
    const known = this.steps.get(workflow) ?? [];
    const own = known.find(isStep(ref));
    const runs = [...(own?.runs ?? []), run];
    if (runs.length > MAX_RUNS) return;
    const others = known.filter(item => item !== own).slice(1 - MAX_STEPS);
    this.replace(workflow, [...others, {occurrence, step, runs}]);
  }

  /** Learns from a step that is done. */
  complete(
    ref: StepOfWorkflow,
    victim: TaskKind,
    speeds: Pick<WorkerSpeeds, 'knownLogOf'>,
  ): void {
    const known = this.steps.get(ref.workflow) ?? [];
    const own = known.find(isStep(ref));
    if (!own) return;
    const rest = known.filter(item => item !== own);
    this.replace(ref.workflow, rest);
    const runs = own.runs.flatMap(run => {
      const speed = speeds.knownLogOf(run);
      const ms = Math.max(1, run.until - run.from);
      return speed === undefined ? [] : [{run, work: Math.log(ms) + speed}];
    });
    const samples = runs.flatMap(item => this.samplesOf(victim, item, runs));
    // All samples are taken before the first of them changes a pair.
    for (const sample of samples) this.pairs.note(sample);
  }

  /** Drops the runs of a workflow that has ended. */
  forget(workflow: WorkflowId): void {
    this.totalRuns -= countRuns(this.steps.get(workflow) ?? []);
    this.steps.delete(workflow);
  }

  /** Plain data of everything learned; undefined if that is nothing. */
  toImage(): InterferenceImage | undefined {
    const {pairs, busy, steps} = this;
    if (pairs.size === 0 && busy.size === 0 && steps.size === 0)
      return undefined;
    return {pairs: pairs.toImage(), busy: [...busy], steps: [...steps]};
  }

  /** Replaces everything learned; an older image has nothing. */
  restore(image: InterferenceImage | undefined): void {
    this.pairs.restore(image?.pairs ?? []);
    this.busy.clear();
    for (const [worker, times] of image?.busy ?? [])
      this.busy.set(worker, times);
    this.steps.clear();
    this.totalRuns = 0;
    for (const [workflow, steps] of image?.steps ?? []) {
      this.steps.set(workflow, steps);
      this.totalRuns += countRuns(steps);
    }
  }

  private replace(workflow: WorkflowId, steps: readonly ComparedStep[]): void {
    this.forget(workflow);
    if (steps.length > 0) this.steps.set(workflow, steps);
    this.totalRuns += countRuns(steps);
    for (const oldest of this.steps.keys()) {
      if (this.totalRuns <= MAX_TOTAL_RUNS) return;
      this.forget(oldest);
    }
  }

  private samplesOf(
    victim: TaskKind,
    item: RunWork,
    all: readonly RunWork[],
  ): Parameters<DisturbingPairs['note']>[0][] {
    const {neighbours, worker, until} = item.run;
    const beside = neighbours.filter(([, fraction]) => fraction >= MIN_BESIDE);
    const gain = beside.length > 1 ? SHARED_GAIN : 1;
    return beside.flatMap(([neighbour]) => {
      const others = all.filter(
        other =>
          other !== item &&
          overlaps(other.run, item.run) &&
          !other.run.neighbours.some(([kind]) => kind === neighbour),
      );
      if (others.length < MIN_OTHERS) return [];
      const works = sorted(others.map(other => this.ownWork(victim, other)));
      const log = this.ownWork(victim, item, neighbour) - sortedMedian(works);
      return [{victim, neighbour, worker, log, gain, at: until}];
    });
  }

  /** Work of a run without what its other neighbours are known to add. */
  private ownWork(
    victim: TaskKind,
    {run, work}: RunWork,
    except?: TaskKind,
  ): number {
    return work - this.knownLog(victim, run.neighbours, run.until, except);
  }
}

/** A run and the logarithm of its time at speed 1, in ms. */
interface RunWork {
  readonly run: ComparedRun & WorkerIncarnation;
  readonly work: number;
}

const overlaps = (a: ComparedRun, b: ComparedRun): boolean => {
  const shorter = Math.min(a.until - a.from, b.until - b.from);
  const shared = Math.min(a.until, b.until) - Math.max(a.from, b.from);
  return shared >= MIN_OVERLAP * shorter;
};

const countRuns = (steps: readonly ComparedStep[]): number =>
  steps.reduce((sum, {runs}) => sum + runs.length, 0);

const isStep =
  ({occurrence, step}: Pick<StepOfWorkflow, 'occurrence' | 'step'>) =>
  (item: ComparedStep): boolean =>
    item.occurrence === occurrence && item.step === step;
