import {reviverOf} from '../utils/image.js';
import type {Size} from '../documents/job.js';
import {asId, type TaskId} from '../ids/types.js';
import {assertNever} from '../utils/assert_never.js';
import type {PlacementContext} from './context.js';
import type {JobView, PlacedTask} from './job_table.js';
import {findVictims} from './preemption.js';
import {describeSize, fits} from './sizes.js';
import {attemptKeyOf, URGENT_PRIORITY, type AttemptName} from './types.js';
import type {Worker} from './worker_table.js';

/** Maximum number of tasks of one job started in one pass. */
const MAX_STARTS_PER_JOB = 256;

/**
 * Maximum number of searches for preemption victims in one pass; the next pass
 * continues.
 */
const MAX_SEARCHES_PER_PASS = 8;

/** Why the tasks of a job did not all start. */
type BlockReason = 'none' | 'room' | 'quota' | 'recording';

/** Starts waiting tasks where they fit. */
export class Scheduler {
  private attemptCount = 0;
  /** Sizes for which no worker had capacity in the current pass. */
  private tooLarge: Size[] = [];
  /** Searches for preemption victims in the current pass. */
  private searches = 0;

  constructor(private readonly context: PlacementContext) {}

  /** Examines the queued jobs once, in scheduling order, and starts tasks. */
  runPass(): void {
    const {context} = this;
    context.isDirty = false;
    context.queue.age(context.now);
    this.tooLarge = [];
    this.searches = 0;
    let examined = 0;
    for (const view of context.queue.list()) {
      if (examined === context.limits.maxJobsPerPass) break;
      if (this.isKnownNotToFit(view) || context.isAwaitingLeaseExpiry(view))
        continue;
      examined++;
      const blocked = this.startJob(view);
      if (blocked === 'room' && this.blocksLowerJobs(view)) break;
    }
  }

  private isKnownNotToFit(view: JobView): boolean {
    const {size, priority} = view.record.spec;
    return (
      priority < URGENT_PRIORITY &&
      this.tooLarge.some(known => fits(known, size))
    );
  }

  /**
   * Whether a gang has waited so long that jobs behind it must not use up
   * capacity.
   */
  private blocksLowerJobs(view: JobView): boolean {
    const {context} = this;
    return (
      view.record.spec.gang &&
      context.now >= view.seenAt + context.limits.gangHoldMs
    );
  }

  private startJob(view: JobView): BlockReason {
    const {context} = this;
    context.endUnreportedStarts(view);
    const tasks = context.jobs.listStartable(
      view,
      context.now,
      MAX_STARTS_PER_JOB,
    );
    const blocked = view.record.spec.gang
      ? this.startGang(view)
      : this.startEach(view, tasks);
    if (!context.jobs.hasWaiting(view)) context.queue.remove(view.record.id);
    else if (blocked === 'none' && tasks.length === MAX_STARTS_PER_JOB)
      context.isDirty = true;
    if (blocked === 'room' || blocked === 'quota') this.noteWait(view, blocked);
    return blocked;
  }

  private startEach(view: JobView, tasks: readonly TaskId[]): BlockReason {
    const unrecorded: TaskId[] = [];
    for (const task of tasks) {
      if (!this.hasQuota(view)) return this.record(view, unrecorded, 'quota');
      const worker = this.findWorker(view);
      if (!worker) {
        this.tooLarge.push(view.record.spec.size);
        this.preemptFor(view, tasks.slice(tasks.indexOf(task)));
        return this.record(view, unrecorded, 'room');
      }
      if (this.needsRecord(view, task)) unrecorded.push(task);
      else this.place(view, task, worker);
    }
    return this.record(view, unrecorded, 'none');
  }

  private startGang(view: JobView): BlockReason {
    const {context} = this;
    const tasks = context.jobs.listStartable(
      view,
      context.now,
      view.record.spec.taskCount,
    );
    const unrecorded = tasks.filter(task => this.needsRecord(view, task));
    const placed: TaskId[] = [];
    const isComplete = tasks.every(task => this.tryPlace(view, task, placed));
    if (isComplete && unrecorded.length === 0) {
      this.startPlaced(view, placed);
      return 'none';
    }
    for (const task of placed) this.undoPlacement(view, task);
    if (isComplete) return this.record(view, unrecorded, 'none');
    return 'room';
  }

  private tryPlace(view: JobView, task: TaskId, placed: TaskId[]): boolean {
    const worker = this.hasQuota(view) ? this.findWorker(view) : undefined;
    if (!worker) return false;
    this.reserve(view, task, worker);
    placed.push(task);
    return true;
  }

  private undoPlacement(view: JobView, task: TaskId): void {
    const state = this.context.jobs.getState(view, task);
    if (state?.kind !== 'placed') return;
    this.context.release(task, state);
    this.context.requeue(view, task, state.attempts - 1, 0);
    this.context.isDirty = false;
  }

  private startPlaced(view: JobView, placed: readonly TaskId[]): void {
    for (const task of placed) {
      const state = this.context.jobs.getState(view, task);
      if (state?.kind === 'placed') this.order(view, task, state);
    }
  }

  private place(view: JobView, task: TaskId, worker: Worker): void {
    this.order(view, task, this.reserve(view, task, worker));
  }

  private reserve(view: JobView, task: TaskId, worker: Worker): PlacedTask {
    const {context} = this;
    const before = context.jobs.getState(view, task);
    const attempts = before?.kind === 'waiting' ? before.attempts + 1 : 1;
    this.attemptCount++;
    const state: PlacedTask = {
      kind: 'placed',
      attempts,
      attempt: asId<AttemptName>(`${context.epoch}.${this.attemptCount}`),
      worker: worker.id,
      size: view.record.spec.size,
      leaseSeq: worker.report.seq,
      deadline:
        worker.reportedAt +
        context.limits.taskLeaseMs +
        context.limits.marginMs,
      isSeen: false,
      stop: 'none',
    };
    context.workers.reserve(
      worker,
      attemptKeyOf(task, state.attempt),
      state.size,
      context.now,
    );
    context.setState(view, task, state);
    return state;
  }

  private order(view: JobView, task: TaskId, state: PlacedTask): void {
    const {context} = this;
    const worker = context.workers.getWorker(state.worker);
    if (!worker) return;
    const {spec, profile} = view.record;
    const {attempt, leaseSeq, size} = state;
    view.hasWaitNote = false;
    context.effects.push({
      kind: 'start',
      order: {
        worker: worker.id,
        address: worker.report.address,
        task,
        attempt,
        leaseSeq,
        size,
        command: spec.command,
        runMs: spec.runMs,
        graceMs: profile.stopping.graceMs,
      },
    });
    context.note(
      task,
      `attempt ${attempt} starts on ${worker.id} of ${worker.rack} (${profile.placing.kind}); left there: ${describeSize(worker.free)}`,
    );
  }

  private hasQuota({record}: JobView): boolean {
    return this.context.quotas.allows(
      record.spec.team,
      record.spec.size.cpuMillis,
    );
  }

  private needsRecord({record, started}: JobView, task: TaskId): boolean {
    return (
      record.profile.stopping.repeat.kind === 'at_most_once' &&
      !started.has(task)
    );
  }

  /** Requests the record of starts; the tasks start only after it. */
  private record(
    view: JobView,
    tasks: readonly TaskId[],
    blocked: BlockReason,
  ): BlockReason {
    if (tasks.length === 0) return blocked;
    for (const task of tasks)
      this.context.setState(view, task, {kind: 'recording', attempts: 0});
    this.context.effects.push({kind: 'record_starts', tasks});
    return 'recording';
  }

  private findWorker(view: JobView): Worker | undefined {
    const {placing} = view.record.profile;
    const {size} = view.record.spec;
    const {workers, now} = this.context;
    const isOpen = (worker: Worker) => workers.isSchedulable(worker, now);
    switch (placing.kind) {
      case 'pack':
        return workers.findBestFit(size, isOpen);
      case 'spread':
        return this.findSpread(view, placing.over, isOpen);
      default:
        return assertNever(placing);
    }
  }

  /** Prefers workers or racks that hold none of the job's tasks yet. */
  private findSpread(
    view: JobView,
    over: 'worker' | 'rack',
    isOpen: (worker: Worker) => boolean,
  ): Worker | undefined {
    const {workers} = this.context;
    const {size} = view.record.spec;
    const used = this.placesUsed(view, over);
    const placeOf = (worker: Worker) =>
      over === 'rack' ? worker.rack : worker.id;
    const unused = workers.findWorstFit(
      size,
      worker => !used.has(placeOf(worker)) && isOpen(worker),
    );
    return unused ?? workers.findWorstFit(size, isOpen);
  }

  private placesUsed(view: JobView, over: 'worker' | 'rack'): Set<string> {
    const used = new Set<string>();
    for (const state of view.tasks.values()) {
      if (state.kind !== 'placed') continue;
      const worker = this.context.workers.getWorker(state.worker);
      if (worker) used.add(over === 'rack' ? worker.rack : worker.id);
    }
    return used;
  }

  /** Preempts tasks of lower priority for urgent tasks that found no worker. */
  private preemptFor(view: JobView, tasks: readonly TaskId[]): void {
    const {context} = this;
    if (view.record.spec.priority < URGENT_PRIORITY) return;
    for (const task of tasks) {
      if (context.now < (view.preempting.get(task) ?? 0)) continue;
      if (this.searches === MAX_SEARCHES_PER_PASS) return;
      this.searches++;
      if (!this.preempt(view, task)) return;
    }
  }

  /**
   * Preempts tasks for one urgent task.
   * @returns whether victims were found.
   */
  private preempt(view: JobView, task: TaskId): boolean {
    const {context} = this;
    const {priority, size} = view.record.spec;
    const found = findVictims(context, size, priority);
    if (!found) return false;
    view.preempting.set(task, context.now + context.limits.preemptMs);
    for (const victim of found.victims) {
      context.setState(victim.view, victim.task, {
        ...victim.state,
        stop: 'preempt',
      });
      context.note(
        victim.task,
        `stops with a checkpoint to make room for ${task}`,
      );
    }
    return true;
  }

  private noteWait(view: JobView, blocked: BlockReason): void {
    if (view.hasWaitNote) return;
    view.hasWaitNote = true;
    const {size, team, taskCount, gang} = view.record.spec;
    const what = gang
      ? `all ${taskCount} tasks of ${describeSize(size)} at once`
      : describeSize(size);
    const reason =
      blocked === 'quota'
        ? `team ${team} has used up its quota`
        : `no worker has room for ${what}`;
    this.context.note(view.record.id, `waits: ${reason}`);
  }
}

/** Restores a scheduler from its deserialized state. */
export const reviveScheduler = reviverOf(Scheduler.prototype);
