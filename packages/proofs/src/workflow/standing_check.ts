/**
 * Finds workflows that stand while workers are free: in calm times a workflow must
 * not have nothing running for 3 s while a task's turn has come and there is room
 * for it twice over, with under half of all room in use.
 */
import {
  type StepState,
  type TaskRef,
  type WorkflowId,
  type WorkflowState,
} from '@primrosewick/state';
import type {EventQueue} from '../world/event_queue.js';
import type {CalmClock} from './calm_clock.js';
import {isAllowed} from './sim_adviser.js';
import type {SimWorker} from './sim_worker.js';
import {fitsTwice, isHalfFree} from './spare_room.js';

/** Options of {@link StandingCheck}. */
export interface StandingCheckOptions {
  readonly queue: EventQueue;
  readonly calm: CalmClock;
  readonly workers: readonly SimWorker[];
  /** Accepted workflows that have not ended. */
  readonly openWorkflows: () => ReadonlyMap<WorkflowId, WorkflowState>;
  readonly stepsOf: (workflow: WorkflowState) => readonly StepState[];
  /** Whether a run of a task has ended as done. */
  readonly isDone: (task: TaskRef) => boolean;
  /** Called once for each workflow that stands for too long. */
  readonly onStands: (what: string) => void;
}

/** Time without a disturbance before a workflow may be blamed to stand, in ms. */
const CALM_MS = 4000;
/** Time for which a workflow may stand, in ms. */
const MAX_STANDING_MS = 3000;
/** Interval of the checks, in ms. */
const CHECK_MS = 50;

/** Watches all open workflows. */
export class StandingCheck {
  /** Since when each workflow stands, in virtual ms. */
  private readonly since = new Map<WorkflowId, number>();
  private readonly blamed = new Set<WorkflowId>();

  constructor(private readonly options: StandingCheckOptions) {}

  /** Notes that a task starts. */
  noteStart({workflow}: TaskRef): void {
    this.since.delete(workflow);
  }

  /** Checks all open workflows, now and from then on. */
  start(): void {
    this.check();
    this.options.queue.after(CHECK_MS, () => this.start());
  }

  private check(): void {
    const {openWorkflows, workers, calm} = this.options;
    calm.observe();
    const open = openWorkflows();
    for (const id of this.since.keys())
      if (!open.has(id)) this.since.delete(id);
    if (open.size === 0) return;
    const running = new Set(workers.flatMap(worker => worker.workflows));
    const isFree = isHalfFree(workers);
    for (const [id, workflow] of open)
      if (isFree && !running.has(id) && this.hasTurnAndRoom(workflow))
        this.noteStanding(id);
      else this.since.delete(id);
  }

  private noteStanding(id: WorkflowId): void {
    const {queue, calm, onStands} = this.options;
    const since = this.since.get(id) ?? queue.now;
    this.since.set(id, since);
    const stoodMs = queue.now - since;
    const calmMs = queue.now - calm.calmSince;
    if (stoodMs < MAX_STANDING_MS || calmMs < CALM_MS + MAX_STANDING_MS) return;
    if (this.blamed.has(id)) return;
    this.blamed.add(id);
    onStands(
      `${id} stands at ${queue.now} ms: nothing has run since ${since} ms, calm for ${calmMs} ms, and there is room twice over`,
    );
  }

  /** Whether a step has a task to run, its turn has come, and it fits twice. */
  private hasTurnAndRoom(workflow: WorkflowState): boolean {
    const {stepsOf, workers} = this.options;
    const {spec, id} = workflow;
    const states = stepsOf(workflow);
    return spec.steps.some((step, index) => {
      const isOver = states[index]!.tasks.every(({isDone}) => isDone);
      if (isOver || !step.after.every(at => this.isStepDone(workflow, at)))
        return false;
      const ref = {workflow: id, occurrence: 0, step: index};
      const usable =
        workflow.queue === 'advised'
          ? workers.filter(worker => isAllowed(ref, worker.id))
          : workers;
      return fitsTwice(step, usable);
    });
  }

  private isStepDone({spec, id}: WorkflowState, step: number): boolean {
    const ref = {workflow: id, occurrence: 0, step};
    return Array.from({length: spec.steps[step]!.taskCount}).every((_, index) =>
      this.options.isDone({...ref, index}),
    );
  }
}
