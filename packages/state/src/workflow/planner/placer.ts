/**
 * Places the tasks of one step after another on the resources that are left.
 */
import type {WorkerId} from '../../ids/types.js';
import {taskKeyIn} from '../refs.js';
import {
  NO_RESOURCES,
  fitsInto,
  freeFraction,
  subtractResources,
} from '../resources.js';
import type {StepKey} from '../types.js';
import {isPreemptible} from '../preemptible_runs.js';
import {AdviceRequester} from './advice_requester.js';
import {CandidateWorkers} from './candidate_workers.js';
import {findStragglers} from './copies.js';
import {homeRackOf} from './home_rack.js';
import {Quarantine} from './quarantine.js';
import {ReservationPlanner} from './reservation_planner.js';
import type {QueueShares} from './queue_shares.js';
import {
  countByWorker,
  findTicket,
  releaseResources,
  isBelowPerWorkerLimit,
  isAwayFromData,
  isOutsideRack,
  latestCheckpoint,
  taskResources,
  claimResources,
  usableResources,
  type StepWork,
} from './step_work.js';
import type {
  AdviceRequest,
  PlanInput,
  PlannedStart,
  PlannedStop,
  PlannedWait,
  ReadyStep,
  WaitReason,
  WorkerView,
} from './types.js';

/** Penalty of a worker away from the data; 1 equals a whole free worker. */
const REMOTE_DATA_PENALTY = 1;
/** Penalty of a worker outside the home rack of the step. */
const SPREAD_PENALTY = 1;
/**
 * Penalty of a worker with resources reserved for another step, such as a gang
 * of lower priority.
 */
const RESERVED_PENALTY = 1.5;
/** Penalty of a worker whose ticket must be renewed first. */
const TICKET_PENALTY = 2;

/** Assignment of one task to a worker. */
interface Placement {
  readonly index: number;
  readonly worker: WorkerView;
}

/** Places steps; the caller passes them in the order of service. */
export class StepPlacer {
  readonly starts: PlannedStart[] = [];
  readonly waits: PlannedWait[] = [];
  private readonly reservations: ReservationPlanner;
  private readonly adviceRequester: AdviceRequester;
  private readonly quarantine: Quarantine;
  private readonly candidates: CandidateWorkers;
  /** Steps with pending starts. */
  private readonly pendingSteps = new Set<string>();
  /** Steps with tasks that this pass starts. */
  private readonly started = new Set<StepKey>();
  /** Steps for which the previous pass reserved resources, by worker. */
  private readonly reservedFor = new Map<WorkerId, StepKey>();

  constructor(
    private readonly input: PlanInput,
    shares: QueueShares,
  ) {
    this.reservations = new ReservationPlanner(input, shares);
    this.adviceRequester = new AdviceRequester(input);
    this.quarantine = new Quarantine(input);
    this.candidates = new CandidateWorkers(input.workers);
    for (const [step, workers] of input.reserved)
      for (const worker of workers) this.reservedFor.set(worker, step);
    for (const key of input.pending.keys())
      this.pendingSteps.add(key.slice(0, key.lastIndexOf('.')));
  }

  /** Requests to advisers. */
  get advice(): readonly AdviceRequest[] {
    return this.adviceRequester.requests;
  }

  /** Workers on which resources are reserved, by the waiting step. */
  get reserved(): ReadonlyMap<StepKey, ReadonlySet<WorkerId>> {
    return this.reservations.reserved;
  }

  /** When runs were last preempted for each waiting gang. */
  get preemptedAt(): ReadonlyMap<StepKey, number> {
    return this.reservations.preemptedAt;
  }

  /** Runs that are preempted for steps of higher priority. */
  get preempted(): readonly PlannedStop[] {
    return this.reservations.preempted;
  }

  /** Places the tasks of a step that fit. */
  place(ready: ReadyStep): void {
    const work = this.buildWork(ready);
    const waiting = work && this.waitingTasks(work);
    if (!work || !waiting || waiting.length === 0) return;
    const {advice: timing} = work.queue;
    const hasSlot = this.adviceRequester.tryAcquireSlot(work);
    if (!hasSlot && !work.advice)
      return this.wait(work, 'advice_turn', waiting.length, 0);
    if (timing && hasSlot && this.requestAdviceIfNeeded(work, waiting.length))
      return this.wait(work, 'advice', waiting.length, 0);
    const placed = this.withHomeRack(work, waiting.length);
    if (work.spec.isGang) this.placeGang(placed, waiting);
    else this.placeEach(placed, waiting);
    const isWaiting = this.waits.at(-1)?.step === work.ready.ref;
    if (!hasSlot || !timing || !isWaiting) return;
    // Other gangs renew their tickets once their resources are nearly complete.
    if (work.spec.isGang && !ready.isCounted)
      this.adviceRequester.releaseUnusedSlot(work);
    else
      this.adviceRequester.renewExpiringTickets(
        work,
        timing,
        this.candidates.of(work),
      );
  }

  /**
   * Starts copies of stragglers if no step waits for resources and this pass
   * starts no other task of the step.
   */
  placeCopies(ready: ReadyStep): void {
    const work = this.buildWork(ready);
    const isIdle = this.waits.length === 0 && !this.started.has(ready.key);
    if (!work || !isIdle) return;
    const candidates = this.candidates.of(work);
    for (const {index, worker: slow} of findStragglers(work, this.input)) {
      const task = {...work.ready.ref, index};
      if (this.quarantine.isSuspect(task)) continue;
      const others = this.quarantine
        .workersFor(task, candidates)
        .filter(({worker}) => worker !== slow);
      const worker = this.chooseWorker(work, others);
      if (!worker || (work.queue.advice && !this.ticketFor(work, worker)))
        continue;
      this.start(work, {index, worker});
    }
  }

  private withHomeRack(work: StepWork, waitingCount: number): StepWork {
    const homeRack = homeRackOf(
      work,
      waitingCount,
      this.input.workers,
      work.spec.isRackLocal ? this.candidates.of(work) : [],
    );
    return homeRack === undefined ? work : {...work, homeRack};
  }

  private buildWork(ready: ReadyStep): StepWork | undefined {
    const {db} = this.input;
    const workflow = db.open.get(ready.ref.workflow);
    const queue = workflow && db.queues.get(workflow.queue);
    const spec = workflow?.spec.steps[ready.ref.step];
    if (!workflow || !queue || !spec) return undefined;
    const state = db.stepsOf(workflow, ready.ref.occurrence)[ready.ref.step];
    if (!state) return undefined;
    return {
      ready,
      workflow,
      queue,
      spec,
      state,
      advice: this.input.adviceOf(ready.key),
      taskCountByWorker: countByWorker(this.input.pending, ready, spec, state),
    };
  }

  /**
   * Indexes of the tasks to start; none for a gang of which any member is
   * active or pending.
   */
  private waitingTasks({ready, spec, state}: StepWork): number[] {
    const waiting: number[] = [];
    if (state.idleCount === 0) return waiting;
    const hasPending = this.pendingSteps.has(ready.key);
    for (const [index, task] of state.tasks.entries()) {
      if (task.isDone) continue;
      const isActiveOrPending =
        task.active.length > 0 ||
        (hasPending && this.input.pending.has(taskKeyIn(ready.key, index)));
      if (isActiveOrPending) {
        if (spec.isGang) return [];
        continue;
      }
      waiting.push(index);
    }
    return waiting;
  }

  private requestAdviceIfNeeded(work: StepWork, taskCount: number): boolean {
    return this.adviceRequester.requestIfNeeded(work, taskCount, {
      suitableWorkers: this.candidates.suitable(work),
      allowed: this.candidates.of(work),
    });
  }

  private placeEach(work: StepWork, waiting: readonly number[]): void {
    const expired = new Set<WorkerId>();
    const candidates = this.candidates.of(work);
    let placedCount = 0;
    for (const index of waiting) {
      const task = {...work.ready.ref, index};
      const quiet = this.quarantine.workersFor(task, candidates);
      const isSuspect = this.quarantine.isSuspect(task);
      const worker = isSuspect
        ? this.chooseFirst(work, quiet)
        : this.chooseWorker(work, quiet);
      if (!worker && isSuspect) {
        this.waitForQuiet(work, candidates, [index]);
        continue;
      }
      if (!worker) {
        this.wait(work, 'room', waiting.length, quiet.length);
        this.preempt(work, waiting.length - placedCount, quiet);
        break;
      }
      placedCount++;
      if (work.queue.advice && !this.ticketFor(work, worker)) {
        expired.add(worker.worker);
        // Claims the resources for the task until the ticket is renewed.
        claimResources(work, worker);
        continue;
      }
      this.start(work, {index, worker});
    }
    this.adviceRequester.renew(work, expired);
  }

  private placeGang(work: StepWork, waiting: readonly number[]): void {
    const placements: Placement[] = [];
    const expired = new Set<WorkerId>();
    const gang = {...work.ready.ref, index: 0};
    const all = this.candidates.of(work);
    const candidates = this.quarantine.workersFor(gang, all);
    for (const index of waiting) {
      const worker = this.chooseWorker(work, candidates);
      if (!worker && this.quarantine.isSuspect(gang)) {
        for (const {worker: place} of placements) releaseResources(work, place);
        return this.waitForQuiet(work, all, waiting);
      }
      if (!worker) {
        for (const {worker: place} of placements) releaseResources(work, place);
        const isReserved =
          work.ready.isUseless === true ||
          this.preempt(work, waiting.length, candidates) ||
          this.reservations.reserve(work, waiting.length, candidates);
        const why = isReserved ? 'room' : 'never_fits_now';
        return this.wait(work, why, waiting.length, candidates.length);
      }
      if (work.queue.advice && !this.ticketFor(work, worker))
        expired.add(worker.worker);
      claimResources(work, worker);
      placements.push({index, worker});
    }
    if (expired.size > 0) {
      this.wait(work, 'tickets', waiting.length, candidates.length);
      const chosen = new Set(placements.map(({worker}) => worker.worker));
      return this.adviceRequester.renewLapsed(work, expired, chosen);
    }
    const run = 1 + Math.max(0, ...work.state.tasks.map(task => task.lastRun));
    const checkpoint = latestCheckpoint(work.state);
    for (const placement of placements)
      this.addStart(work, placement, run, checkpoint);
  }

  /**
   * Preempts runs of lower priority; none for work that is useless.
   * @returns whether all tasks will have resources.
   */
  private preempt(
    work: StepWork,
    taskCount: number,
    candidates: readonly WorkerView[],
  ): boolean {
    if (work.ready.isUseless) return false;
    const {coversAllTasks, lapsed, chosen} = this.reservations.preempt(
      work,
      taskCount,
      candidates,
    );
    this.adviceRequester.renewLapsed(work, lapsed, chosen);
    return coversAllTasks;
  }

  /** Keeps workers free of other starts until one is quiet enough for a suspect. */
  private waitForQuiet(
    work: StepWork,
    candidates: readonly WorkerView[],
    indexes: readonly number[],
  ): void {
    const size = taskResources(work);
    const fitting = candidates.filter(({free}) => fitsInto(size, free));
    const task = {...work.ready.ref, index: indexes[0] ?? 0};
    const suspect = this.quarantine.waitOf(task, fitting);
    indexes.forEach(() => this.quarantine.hold(task, fitting));
    this.waits.push({
      step: work.ready.ref,
      why: 'quarantine',
      taskCount: indexes.length,
      candidateCount: fitting.length,
      suspect,
    });
  }

  private wait(
    {ready}: StepWork,
    why: WaitReason,
    taskCount: number,
    candidateCount: number,
  ): void {
    this.waits.push({step: ready.ref, why, taskCount, candidateCount});
  }

  /** The first worker that a task fits on. */
  private chooseFirst(
    work: StepWork,
    candidates: readonly WorkerView[],
  ): WorkerView | undefined {
    for (const worker of candidates) {
      const chosen = this.chooseWorker(work, [worker]);
      if (chosen) return chosen;
    }
    return undefined;
  }

  /**
   * Best fit: the worker with the lowest score, which is the fraction of it
   * that the task leaves free, plus penalties.
   */
  private chooseWorker(
    work: StepWork,
    candidates: readonly WorkerView[],
  ): WorkerView | undefined {
    const {spec, queue, ready} = work;
    const size = taskResources(work);
    let best: WorkerView | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    const mayUseReserved = isPreemptible(spec);
    for (const worker of candidates) {
      // Most workers are full; skips the sum for those without reservations.
      const free =
        mayUseReserved && worker.kept !== NO_RESOURCES
          ? usableResources(work, worker)
          : worker.free;
      if (!fitsInto(size, free)) continue;
      if (!isBelowPerWorkerLimit(work, worker)) continue;
      const score =
        freeFraction(subtractResources(free, size), worker.room) +
        (isAwayFromData(spec, worker) ? REMOTE_DATA_PENALTY : 0) +
        (isOutsideRack(work, worker) ? SPREAD_PENALTY : 0) +
        (this.isReservedForOther(worker, ready) ? RESERVED_PENALTY : 0) +
        (queue.advice && !this.ticketFor(work, worker) ? TICKET_PENALTY : 0);
      if (score >= bestScore) continue;
      best = worker;
      bestScore = score;
    }
    return best;
  }

  /**
   * Whether the previous pass reserved resources on a worker for another step.
   */
  private isReservedForOther({worker}: WorkerView, {key}: ReadyStep): boolean {
    const reservedStep = this.reservedFor.get(worker);
    return reservedStep !== undefined && reservedStep !== key;
  }

  private ticketFor(work: StepWork, worker: WorkerView) {
    return findTicket(work, worker, this.input.now);
  }

  private start(work: StepWork, placement: Placement): void {
    const task = work.state.tasks[placement.index];
    if (!task) return;
    claimResources(work, placement.worker);
    this.addStart(work, placement, task.lastRun + 1, task.checkpoint);
  }

  private addStart(
    work: StepWork,
    {index, worker}: Placement,
    run: number,
    checkpoint: string,
  ): void {
    const ticket = this.ticketFor(work, worker)?.text;
    this.quarantine.noteStart({...work.ready.ref, index}, worker.worker);
    this.started.add(work.ready.key);
    this.starts.push({
      task: {...work.ready.ref, index},
      run,
      worker: worker.worker,
      bornAt: worker.bornAt,
      checkpoint,
      ...(ticket === undefined ? {} : {ticket}),
    });
  }
}
