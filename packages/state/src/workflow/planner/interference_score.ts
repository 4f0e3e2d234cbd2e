/**
 * The part of a worker's score that depends on what runs there. Load pattern:
 * two images on one worker slow each other down.
 */
import type {WorkerId} from '../../ids/types.js';
import {taskKindOf} from '../interference/neighbours.js';
import type {TaskKind} from '../interference/types.js';
import {taskRefOf} from '../refs.js';
import type {StepWork} from './step_work.js';
import type {PlanInput, WorkerView} from './types.js';

/** Penalty for a pair that takes twice as long together. */
const DISTURBANCE_WEIGHT = 0.6;
/** Largest penalty; below those for data and racks, which are 1. */
const MAX_PENALTY = 0.8;

/** Scores workers by the kinds of tasks that run there, for one pass. */
export class InterferenceScore {
  /** Kinds that disturb or are disturbed by a kind, with the penalty. */
  private readonly penalties = new Map<TaskKind, Map<TaskKind, number>>();
  private readonly kindsOn = new Map<WorkerId, Set<TaskKind>>();

  private latest:
    | {
        readonly work: StepWork;
        readonly known: ReadonlyMap<TaskKind, number> | undefined;
      }
    | undefined;

  constructor(private readonly input: PlanInput) {
    const {db, wall} = input;
    for (const [victim, neighbour, {mean}] of db.interference.pairs.inForce(
      wall,
    )) {
      const penalty = (DISTURBANCE_WEIGHT * mean) / Math.LN2;
      this.add(victim, neighbour, penalty);
      if (victim !== neighbour) this.add(neighbour, victim, penalty);
    }
    if (this.penalties.size === 0) return;
    for (const [key, worker] of input.mayRun ?? input.pending) {
      const kind = taskKindOf(db, taskRefOf(key));
      if (kind !== undefined) this.kindsOf(worker).add(kind);
    }
  }

  /** Penalty of a worker; 0 unless a kind there disturbs or is disturbed. */
  penaltyOf(work: StepWork, {worker}: WorkerView): number {
    if (this.penalties.size === 0) return 0;
    const known = this.penaltiesOf(work);
    if (!known) return 0;
    let sum = 0;
    for (const other of this.kindsOf(worker)) sum += known.get(other) ?? 0;
    return Math.min(MAX_PENALTY, sum);
  }

  /** Notes a start of this pass, which is a neighbour of the next ones. */
  noteStart(work: StepWork, {worker}: WorkerView): void {
    if (this.penalties.size === 0) return;
    const kind = this.kindOf(work);
    if (kind !== undefined) this.kindsOf(worker).add(kind);
  }

  private add(kind: TaskKind, other: TaskKind, penalty: number): void {
    const known = this.penalties.get(kind) ?? new Map<TaskKind, number>();
    known.set(other, (known.get(other) ?? 0) + penalty);
    this.penalties.set(kind, known);
  }

  /** Penalties by other kind; kept for the further candidates of a step. */
  private penaltiesOf(
    work: StepWork,
  ): ReadonlyMap<TaskKind, number> | undefined {
    if (this.latest?.work === work) return this.latest.known;
    const kind = this.kindOf(work);
    const known = kind === undefined ? undefined : this.penalties.get(kind);
    this.latest = {work, known};
    return known;
  }

  private kindOf({ready: {ref}}: StepWork): TaskKind | undefined {
    return taskKindOf(this.input.db, {...ref, index: 0});
  }

  private kindsOf(worker: WorkerId): Set<TaskKind> {
    const known = this.kindsOn.get(worker);
    if (known) return known;
    const {db} = this.input;
    const kinds = new Set<TaskKind>();
    for (const {task} of db.workers.get(worker)?.active.values() ?? []) {
      const kind = taskKindOf(db, task);
      if (kind !== undefined) kinds.add(kind);
    }
    this.kindsOn.set(worker, kinds);
    return kinds;
  }
}
