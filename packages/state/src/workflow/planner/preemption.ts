/**
 * Finds running tasks that can give way. Load pattern: gangs of high worth meet
 * workers filled with small tasks of lower priority, which save their progress
 * when they are stopped, and would otherwise be waited for one after the other.
 */
import type {Queue} from '../../bundle/types.js';
import type {WorkerId} from '../../ids/types.js';
import {taskKey} from '../refs.js';
import {NO_ROOM, addRoom, fitsInto} from '../room.js';
import type {
  Room,
  StepSpec,
  TaskKey,
  TaskRef,
  WorkflowState,
} from '../types.js';
import {chainFromMs, dueAtOf} from './ready.js';
import type {PlanInput, WorkerView} from './types.js';

/** Runs after which a task is left alone, so that it is not put off for good. */
const MAX_RUNS = 4;

/** Whether tasks of a step can give way at no more than the time of a restart. */
export const canGiveWay = (spec: StepSpec): boolean =>
  spec.isCheckpointable &&
  !spec.isGang &&
  !spec.isLongRunning &&
  !spec.usesLeftover;

/** Slack that a workflow keeps when a run of it gives way, in ms. */
const PATIENT_SLACK_MS = 2000;

/** A run that ends by itself within this time is waited for, in ms: a stop takes as long. */
export const SOON_MS = 900;

/** A run that can give way at no more than the time of a restart. */
export interface Victim {
  readonly task: TaskRef;
  readonly run: number;
  readonly room: Room;
  readonly priority: number;
  /** Whether its workflow is in time after that as well, or late already. */
  readonly isPatient: boolean;
}

/** For whom runs give way. */
export interface Beneficiary {
  readonly priority: number;
  /** Whether it would be late anyway; then only patient runs give way. */
  readonly isLate: boolean;
}

/** Runs of one worker, as they bear on making room there. */
interface WorkerVictims {
  /** Runs that can give way: the least urgent first, then the patient, and of these the largest. */
  readonly victims: readonly Victim[];
  /** Room that runs on their way out will free. */
  readonly soon: Room;
  /** Room that is free once these and all victims are gone, beside what is free now. */
  readonly most: Room;
}

/** Runs that can give way, and those that are on their way out. */
export class VictimTable {
  private readonly byWorker = new Map<WorkerId, WorkerVictims>();
  /** Runs that were chosen in this pass. */
  private readonly chosen = new Set<TaskKey>();

  constructor(
    private readonly input: Pick<
      PlanInput,
      'db' | 'pending' | 'stopping' | 'wall' | 'endsSoon'
    >,
  ) {}

  /**
   * The runs on a worker that must give way so that a size fits, beside what is
   * free there and what is coming free.
   * @returns undefined when the size would not fit without all of them either.
   */
  find(
    {worker, free}: WorkerView,
    size: Room,
    {priority, isLate}: Beneficiary,
  ): Victim[] | undefined {
    const {victims, soon, most} = this.of(worker);
    // Most workers could not make the room at all.
    if (!fitsBeside(size, free, most)) return undefined;
    const chosen: Victim[] = [];
    let freed = addRoom(free, soon);
    for (const victim of victims) {
      if (fitsInto(size, freed)) break;
      // The rest is as urgent, or more.
      if (victim.priority <= priority) break;
      if (isLate && !victim.isPatient) continue;
      chosen.push(victim);
      freed = addRoom(freed, victim.room);
    }
    return fitsInto(size, freed) ? chosen : undefined;
  }

  /** Counts chosen runs of a worker as on their way out. */
  take(worker: WorkerId, victims: readonly Victim[]): void {
    if (victims.length === 0) return;
    for (const {task} of victims) this.chosen.add(taskKey(task));
    this.byWorker.delete(worker);
  }

  /** Leaves chosen runs of a worker alone after all. */
  giveBack(worker: WorkerId, victims: readonly Victim[]): void {
    if (victims.length === 0) return;
    for (const {task} of victims) this.chosen.delete(taskKey(task));
    this.byWorker.delete(worker);
  }

  private of(worker: WorkerId): WorkerVictims {
    const known = this.byWorker.get(worker);
    if (known) return known;
    const loaded = this.load(worker);
    this.byWorker.set(worker, loaded);
    return loaded;
  }

  private load(worker: WorkerId): WorkerVictims {
    const {db, stopping, pending} = this.input;
    const ending = this.input.endsSoon(worker);
    const victims: Victim[] = [];
    let soon = NO_ROOM;
    let most = NO_ROOM;
    for (const [key, {task, run}] of db.workers.get(worker)?.active ?? []) {
      const workflow = db.workflows.get(task.workflow);
      const spec = workflow?.spec.steps[task.step];
      if (!workflow || !spec) continue;
      const room = spec.usesLeftover ? NO_ROOM : spec.room;
      const isEnding =
        stopping.has(key) || this.chosen.has(key) || ending.has(key);
      const isVictim =
        !isEnding &&
        canGiveWay(spec) &&
        workflow.phase === 'open' &&
        run < MAX_RUNS &&
        !pending.has(key);
      if (!isEnding && !isVictim) continue;
      most = addRoom(most, room);
      if (isEnding) soon = addRoom(soon, room);
      else victims.push(this.victimOf(workflow, task, run, room));
    }
    victims.sort(
      (a, b) =>
        b.priority - a.priority ||
        Number(b.isPatient) - Number(a.isPatient) ||
        b.room.cpuMillis - a.room.cpuMillis,
    );
    return {victims, soon, most};
  }

  private victimOf(
    workflow: WorkflowState,
    task: TaskRef,
    run: number,
    room: Room,
  ): Victim {
    const queue = this.input.db.queues.get(workflow.queue);
    const slackMs = queue ? this.slackOf(workflow, queue, task) : 0;
    return {
      task,
      run,
      room,
      priority: queue?.priority ?? 0,
      isPatient: slackMs < 0 || slackMs > PATIENT_SLACK_MS,
    };
  }

  private slackOf(
    workflow: WorkflowState,
    queue: Queue,
    {occurrence, step}: TaskRef,
  ): number {
    const dueAt = dueAtOf(workflow, queue, occurrence);
    return dueAt - this.input.wall - chainFromMs(workflow.spec, step);
  }
}

/** Whether a size fits into two rooms together. */
const fitsBeside = (size: Room, a: Room, b: Room): boolean =>
  size.cpuMillis <= a.cpuMillis + b.cpuMillis &&
  size.memMb <= a.memMb + b.memMb &&
  size.gpus <= a.gpus + b.gpus;
