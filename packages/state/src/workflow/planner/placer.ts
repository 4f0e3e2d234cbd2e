/**
 * Places the tasks of one step after another on the resources that are left.
 */
import type {WorkerId} from '../../ids/types.js';
import {fitsInto} from '../resources.js';
import type {StepKey} from '../types.js';
import {AdviceRequester} from './advice_requester.js';
import {AttemptWorkers, canHold} from './attempts.js';
import {CandidateWorkers} from './candidate_workers.js';
import {findExpectedStragglers} from './copies.js';
import type {CustomerCaps} from './customer_caps.js';
import {homeRackOf} from './home_rack.js';
import {Quarantine} from './quarantine.js';
import {ReservationPlanner} from './reservation_planner.js';
import type {QueueShares} from './queue_shares.js';
import {SpeedScore} from './speed_score.js';
import {
  countByWorker,
  releaseResources,
  latestCheckpoint,
  taskResources,
  claimResources,
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
import {WaitingTasks} from './waiting_tasks.js';
import {WorkerChoice} from './worker_choice.js';

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
  private readonly attempts: AttemptWorkers;
  private readonly choice: WorkerChoice;
  private readonly waiting: WaitingTasks;
  private readonly speeds: SpeedScore;
  /** Steps with tasks that this pass starts. */
  private readonly started = new Set<StepKey>();
  /** Number of waits for anything but a cap, counted once all steps are placed. */
  private otherWaits: number | undefined;

  constructor(
    private readonly input: PlanInput,
    shares: QueueShares,
    private readonly caps: CustomerCaps,
  ) {
    this.reservations = new ReservationPlanner(input, shares);
    this.adviceRequester = new AdviceRequester(input);
    this.quarantine = new Quarantine(input);
    this.candidates = new CandidateWorkers(input.workers);
    this.speeds = new SpeedScore(input, this.candidates);
    this.choice = new WorkerChoice(input, this.speeds);
    this.attempts = new AttemptWorkers(input, this.choice);
    this.waiting = new WaitingTasks(input.pending);
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
    const all = work && this.waiting.of(work);
    if (!work || !all || all.length === 0) return;
    const waiting = all.slice(0, this.caps.countAllowed(work, all.length));
    if (waiting.length === 0) return this.waitForCap(work, all.length);
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
    if (!isWaiting && waiting.length < all.length)
      this.waitForCap(work, all.length - waiting.length);
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
    const isIdle = this.hasNoOtherWaits() && !this.started.has(ready.key);
    if (!work || !isIdle) return;
    const candidates = this.candidates.of(work);
    for (const {index, worker: slow} of findExpectedStragglers(
      work,
      this.input,
    )) {
      const task = {...work.ready.ref, index};
      if (this.quarantine.isSuspect(task)) continue;
      if (this.caps.countAllowed(work, 1) === 0) return;
      const others = this.quarantine
        .workersFor(task, candidates)
        .filter(({worker}) => worker !== slow);
      const worker = this.choice.best(work, others);
      if (
        !worker ||
        (work.queue.advice && !this.choice.ticketFor(work, worker))
      )
        continue;
      this.start(work, {index, worker});
    }
  }

  /** Whether no step waits for anything but the cap of its customer. */
  private hasNoOtherWaits(): boolean {
    this.otherWaits ??= this.waits.filter(({why}) => why !== 'cap').length;
    return this.otherWaits === 0;
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
        ? this.choice.first(work, quiet)
        : this.attempts.choose(work, index, quiet);
      if (!worker && isSuspect) {
        this.waitForQuiet(work, candidates, [index]);
        continue;
      }
      if (!worker && this.attempts.isWaiting(work, index)) {
        this.wait(work, 'attempt', 1, quiet.length);
        continue;
      }
      if (!worker) {
        this.wait(work, 'room', waiting.length, quiet.length);
        this.preempt(work, waiting.length - placedCount, quiet);
        break;
      }
      placedCount++;
      if (work.queue.advice && !this.choice.ticketFor(work, worker)) {
        expired.add(worker.worker);
        // Claims the resources for the task until the ticket is renewed.
        claimResources(work, worker);
        this.caps.claim(work, 1);
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
    const quiet = this.quarantine.workersFor(gang, all);
    const candidates = this.attempts.forGang(work, waiting.length, quiet);
    for (const index of waiting) {
      const worker = this.choice.best(work, candidates);
      if (!worker && this.quarantine.isSuspect(gang)) {
        for (const {worker: place} of placements) releaseResources(work, place);
        return this.waitForQuiet(work, all, waiting);
      }
      if (!worker) {
        for (const {worker: place} of placements) releaseResources(work, place);
        const isUseless = work.ready.isUseless === true;
        const isReserved =
          !isUseless &&
          (this.preempt(work, waiting.length, candidates) ||
            this.reservations.reserve(work, waiting.length, candidates));
        const why = isReserved || isUseless ? 'room' : 'never_fits_now';
        if (isReserved) this.caps.claim(work, waiting.length);
        return this.wait(work, why, waiting.length, candidates.length);
      }
      if (work.queue.advice && !this.choice.ticketFor(work, worker))
        expired.add(worker.worker);
      claimResources(work, worker);
      placements.push({index, worker});
    }
    this.caps.claim(work, waiting.length);
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
    const preemption = this.reservations.preempt(work, taskCount, candidates);
    const {coversAllTasks, lapsed, chosen} = preemption;
    this.adviceRequester.renewLapsed(work, lapsed, chosen);
    if (!work.spec.isGang) this.caps.claim(work, preemption.taskCount);
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

  /** Holds tasks back as their customer may not have more running. */
  private waitForCap(work: StepWork, taskCount: number): void {
    const {ref, dueAt} = work.ready;
    const neededCount = work.spec.isGang ? taskCount : 1;
    if (canHold(work, neededCount, this.candidates.suitable(work)))
      this.caps.keepRest(work, dueAt);
    const cap = this.caps.waitOf(work);
    this.waits.push({
      step: ref,
      why: 'cap',
      taskCount,
      candidateCount: 0,
      ...(cap && {cap}),
    });
  }

  private start(work: StepWork, placement: Placement): void {
    const task = work.state.tasks[placement.index];
    if (!task) return;
    claimResources(work, placement.worker);
    this.caps.claim(work, 1);
    this.addStart(work, placement, task.lastRun + 1, task.checkpoint);
  }

  private addStart(
    work: StepWork,
    {index, worker}: Placement,
    run: number,
    checkpoint: string,
  ): void {
    const ticket = this.choice.ticketFor(work, worker)?.text;
    this.quarantine.noteStart({...work.ready.ref, index}, worker.worker);
    this.started.add(work.ready.key);
    this.starts.push({
      task: {...work.ready.ref, index},
      run,
      worker: worker.worker,
      bornAt: worker.bornAt,
      checkpoint,
      ...(ticket === undefined ? {} : {ticket}),
      ...this.speeds.expectationOf(work, worker),
    });
  }
}
