/** Places the tasks of one step after the other on the room that is left. */
import type {Queue} from '../../bundle/types.js';
import type {WorkerId} from '../../ids/types.js';
import {taskKey} from '../refs.js';
import {
  addRoom,
  fitsInto,
  leftoverShare,
  subtractRoom,
  NO_ROOM,
} from '../room.js';
import type {StepKey, StepSpec, StepState, WorkflowState} from '../types.js';
import {workersToAsk} from './advice.js';
import type {
  AdviceWish,
  PlanInput,
  PlannedStart,
  PlannedWait,
  ReadyStep,
  StepAdvice,
  Ticket,
  WaitReason,
  WorkerView,
} from './types.js';

/** A ticket is used only while it is valid for longer than an order may take. */
const TICKET_MARGIN_MS = 250;

/** Score of a worker without the data, against 1 for a whole free worker. */
const FAR_PENALTY = 1;
/** Score of a worker on which room is kept for a gang of lower priority. */
const KEPT_PENALTY = 1.5;
/** Score of a worker whose ticket must be renewed first. */
const TICKET_PENALTY = 2;

const NO_TERMS = {baseMs: 0, perWorkerMs: 0, validMs: 0};

/** A step with all that is known of it. */
interface StepWork {
  readonly ready: ReadyStep;
  readonly workflow: WorkflowState;
  readonly queue: Queue;
  readonly spec: StepSpec;
  readonly state: StepState;
  readonly advice: StepAdvice | undefined;
  /** Tasks of the step on each worker, where a bound applies. */
  readonly countOn: Map<WorkerId, number>;
}

/** One task put on a worker. */
interface Placement {
  readonly index: number;
  readonly worker: WorkerView;
}

/** Places steps in the order in which it is given them. */
export class StepPlacer {
  readonly starts: PlannedStart[] = [];
  readonly advice: AdviceWish[] = [];
  readonly waits: PlannedWait[] = [];
  readonly reserved = new Map<StepKey, Set<WorkerId>>();
  private readonly byPool = new Map<string, WorkerView[]>();
  /** Gangs for which the last pass kept room, by worker. */
  private readonly keptFor = new Map<WorkerId, StepKey>();

  constructor(private readonly input: PlanInput) {
    for (const [step, workers] of input.reserved)
      for (const worker of workers) this.keptFor.set(worker, step);
    for (const worker of input.workers.values()) {
      const pool = this.byPool.get(worker.pool) ?? [];
      pool.push(worker);
      this.byPool.set(worker.pool, pool);
    }
  }

  /** Places what fits of a step. */
  place(ready: ReadyStep): void {
    const work = this.gather(ready);
    const waiting = work && this.waitingTasks(work);
    if (!work || !waiting || waiting.length === 0) return;
    if (work.queue.advice && this.mustAskFirst(work, waiting.length))
      return this.wait(work, 'advice', waiting.length, 0);
    if (work.spec.isGang) this.placeGang(work, waiting);
    else this.placeEach(work, waiting);
  }

  private gather(ready: ReadyStep): StepWork | undefined {
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
      countOn: this.countByWorker(ready, spec, state),
    };
  }

  /** Indexes of the tasks that nothing runs; none while a gang is not all gone. */
  private waitingTasks({ready, spec, state}: StepWork): number[] {
    const waiting: number[] = [];
    for (const [index, task] of state.tasks.entries()) {
      if (task.isDone) continue;
      const isPending = this.input.pending.has(taskKey({...ready.ref, index}));
      if (isPending || task.active.length > 0) {
        if (spec.isGang) return [];
        continue;
      }
      waiting.push(index);
    }
    return waiting;
  }

  /**
   * Asks the adviser about more workers where too few are known to be allowed.
   * @returns whether nothing can be placed before its answer.
   */
  private mustAskFirst(
    {ready, queue, spec, advice}: StepWork,
    taskCount: number,
  ): boolean {
    const isNoneAllowed = !advice || advice.allowed.size === 0;
    if (advice?.isAsking) return isNoneAllowed;
    const workers = workersToAsk(
      spec,
      this.suitable(queue, spec),
      taskCount,
      queue.advice ?? NO_TERMS,
      advice,
    );
    if (workers.length > 0) this.advice.push({step: ready.ref, workers});
    return isNoneAllowed;
  }

  /** Workers of the pool with the label that a step requires. */
  private suitable({pool}: Queue, spec: StepSpec): WorkerView[] {
    const {requiredLabel} = spec;
    return (this.byPool.get(pool) ?? []).filter(
      worker =>
        worker.isUsable &&
        (requiredLabel === undefined || worker.labels.has(requiredLabel)),
    );
  }

  private placeEach(work: StepWork, waiting: readonly number[]): void {
    const expired = new Set<WorkerId>();
    const candidates = this.candidatesOf(work);
    for (const index of waiting) {
      const worker = this.choose(work, candidates);
      if (!worker) {
        this.wait(work, 'room', waiting.length, candidates.length);
        break;
      }
      if (work.queue.advice && !this.ticketFor(work, worker)) {
        expired.add(worker.worker);
        // The room is kept for the task until the ticket is renewed.
        this.take(work, worker);
        continue;
      }
      this.start(work, {index, worker});
    }
    this.renew(work, expired);
  }

  private placeGang(work: StepWork, waiting: readonly number[]): void {
    const placements: Placement[] = [];
    const expired = new Set<WorkerId>();
    const candidates = this.candidatesOf(work);
    for (const index of waiting) {
      const worker = this.choose(work, candidates);
      if (!worker) {
        this.giveBack(work, placements);
        const isKept = this.reserve(work, waiting.length, candidates);
        const why = isKept ? 'room' : 'never_fits_now';
        return this.wait(work, why, waiting.length, candidates.length);
      }
      if (work.queue.advice && !this.ticketFor(work, worker))
        expired.add(worker.worker);
      this.take(work, worker);
      placements.push({index, worker});
    }
    if (expired.size > 0) {
      this.wait(work, 'tickets', waiting.length, candidates.length);
      return this.renew(work, expired);
    }
    const run = 1 + Math.max(0, ...work.state.tasks.map(task => task.lastRun));
    const checkpoint = latestCheckpoint(work.state);
    for (const placement of placements)
      this.emit(work, placement, run, checkpoint);
  }

  /**
   * Keeps room for a gang that does not fit yet, so that later steps do not
   * take each part of it as it becomes free. Load pattern: wide gangs of high
   * worth beside a steady stream of small tasks of lower priority.
   */
  private reserve(
    {spec, ready}: StepWork,
    taskCount: number,
    candidates: readonly WorkerView[],
  ): boolean {
    const size = spec.usesLeftover ? NO_ROOM : spec.room;
    const reserved: WorkerView[] = [];
    const before = this.input.reserved.get(ready.key);
    const rank = ({worker}: WorkerView): number =>
      before?.has(worker) ? 0 : 1;
    const byFree = [...candidates].sort(
      (a, b) => rank(a) - rank(b) || b.free.cpuMillis - a.free.cpuMillis,
    );
    for (const worker of byFree) {
      let count = 0;
      const bound = spec.maxPerWorker || taskCount;
      while (reserved.length < taskCount && count < bound) {
        if (!fitsInto(size, worker.unreserved)) break;
        worker.unreserved = subtractRoom(worker.unreserved, size);
        reserved.push(worker);
        count++;
      }
    }
    // Nothing is kept for a gang that even empty workers could not hold.
    const isPossible = reserved.length === taskCount;
    for (const worker of reserved) {
      if (isPossible) worker.free = subtractRoom(worker.free, size);
      else worker.unreserved = addRoom(worker.unreserved, size);
    }
    if (isPossible)
      this.reserved.set(ready.key, new Set(reserved.map(({worker}) => worker)));
    return isPossible;
  }

  private wait(
    {ready}: StepWork,
    why: WaitReason,
    taskCount: number,
    candidateCount: number,
  ): void {
    this.waits.push({step: ready.ref, why, taskCount, candidateCount});
  }

  private candidatesOf(work: StepWork): WorkerView[] {
    const suitable = this.suitable(work.queue, work.spec);
    if (!work.queue.advice) return suitable;
    return suitable.filter(({worker}) => work.advice?.allowed.has(worker));
  }

  /** The worker whose room is used up most by the task. */
  private choose(
    work: StepWork,
    candidates: readonly WorkerView[],
  ): WorkerView | undefined {
    const {spec, countOn, queue, ready} = work;
    const size = spec.usesLeftover ? NO_ROOM : spec.room;
    let best: WorkerView | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const worker of candidates) {
      if (!fitsInto(size, worker.free)) continue;
      if (
        spec.maxPerWorker > 0 &&
        (countOn.get(worker.worker) ?? 0) >= spec.maxPerWorker
      )
        continue;
      const isFar =
        spec.preferredRack !== undefined &&
        !worker.labels.has(spec.preferredRack);
      const score =
        leftoverShare(subtractRoom(worker.free, size), worker.room) +
        (isFar ? FAR_PENALTY : 0) +
        (this.isKeptForOther(worker, ready) ? KEPT_PENALTY : 0) +
        (queue.advice && !this.ticketFor(work, worker) ? TICKET_PENALTY : 0);
      if (score >= bestScore) continue;
      best = worker;
      bestScore = score;
    }
    return best;
  }

  /** Whether the last pass kept room on a worker for another step. */
  private isKeptForOther({worker}: WorkerView, {key}: ReadyStep): boolean {
    const kept = this.keptFor.get(worker);
    return kept !== undefined && kept !== key;
  }

  private ticketFor(
    {advice}: StepWork,
    {worker, bornAt}: WorkerView,
  ): Ticket | undefined {
    const ticket = advice?.tickets.get(worker);
    const isValid =
      ticket !== undefined &&
      ticket.bornAt === bornAt &&
      ticket.validUntil > this.input.now + TICKET_MARGIN_MS;
    return isValid ? ticket : undefined;
  }

  private take({spec, countOn}: StepWork, worker: WorkerView): void {
    const size = spec.usesLeftover ? NO_ROOM : spec.room;
    worker.free = subtractRoom(worker.free, size);
    countOn.set(worker.worker, (countOn.get(worker.worker) ?? 0) + 1);
  }

  private giveBack({spec}: StepWork, placements: readonly Placement[]): void {
    const size = spec.usesLeftover ? NO_ROOM : spec.room;
    for (const {worker} of placements) worker.free = addRoom(worker.free, size);
  }

  private start(work: StepWork, placement: Placement): void {
    const task = work.state.tasks[placement.index];
    if (!task) return;
    this.take(work, placement.worker);
    this.emit(work, placement, task.lastRun + 1, task.checkpoint);
  }

  private emit(
    work: StepWork,
    {index, worker}: Placement,
    run: number,
    checkpoint: string,
  ): void {
    const ticket = this.ticketFor(work, worker)?.text;
    this.starts.push({
      task: {...work.ready.ref, index},
      run,
      worker: worker.worker,
      bornAt: worker.bornAt,
      checkpoint,
      ...(ticket === undefined ? {} : {ticket}),
    });
  }

  private renew({ready, advice}: StepWork, workers: Set<WorkerId>): void {
    if (workers.size === 0 || advice?.isAsking) return;
    this.advice.push({step: ready.ref, workers: [...workers]});
  }

  /** Tasks of a step on each worker, with the starts that are under way. */
  private countByWorker(
    {ref}: ReadyStep,
    spec: StepSpec,
    state: StepState,
  ): Map<WorkerId, number> {
    const counts = new Map<WorkerId, number>();
    if (spec.maxPerWorker === 0) return counts;
    const add = (worker: WorkerId): void =>
      void counts.set(worker, (counts.get(worker) ?? 0) + 1);
    state.tasks.forEach((task, index) => {
      for (const {worker} of task.active) add(worker);
      const pendingOn = this.input.pending.get(taskKey({...ref, index}));
      const isCounted = task.active.some(({worker}) => worker === pendingOn);
      if (pendingOn !== undefined && !isCounted) add(pendingOn);
    });
    return counts;
  }
}

/** The checkpoint of any member is valid for its gang; the latest saves most. */
const latestCheckpoint = ({tasks}: StepState): string => {
  const saved = tasks.filter(({checkpoint}) => checkpoint !== '');
  saved.sort((a, b) => b.checkpointRun - a.checkpointRun);
  return saved[0]?.checkpoint ?? '';
};
