/**
 * The replicated state of workflows and workers. Every voter applies the same
 * records in the same order, so nothing here reads a clock or uses randomness.
 */
import type {Bundle, Queue, QueueName} from '../bundle/types.js';
import type {WorkerId} from '../ids/types.js';
import {assertNever} from '../utils/assert_never.js';
import {acceptedWorkflow, type Submission} from './accepted_workflow.js';
import {CustomerRates} from './admission/customer_rate.js';
import {CancelledIds} from './cancelled_ids.js';
import {TaskCrashes} from './crashes/task_crashes.js';
import {CustomerUsage} from './customer_usage.js';
import {DepartedWorkers} from './departed_workers.js';
import {EndedWorkflows} from './ended_workflows.js';
import {RunEstimates} from './estimates/core.js';
import {learnFromEnd} from './estimates/ended_runs.js';
import {imageOf, restoreWorker} from './image.js';
import {Interference} from './interference/core.js';
import {learnNeighbours} from './interference/ended_runs.js';
import {KnownCustomers} from './known_customers.js';
import {OpenWorkflows} from './open_workflows.js';
import {taskKey} from './refs.js';
import {
  NO_RESOURCES,
  addResources,
  subtractResources,
  summable,
} from './resources.js';
import {OrphanedRuns} from './orphaned_runs.js';
import {StopCandidates} from './stop_candidates.js';
import {
  countActiveRuns,
  countFailure,
  discardDetails,
  newOccurrence,
  isOccurrenceDone,
  areAllOccurrencesDone,
  saveCheckpoints,
  updateCheckpoint,
  hasActiveRuns,
  markDone,
  unstartedSteps,
  withIdleCount,
} from './task_state.js';
import type {
  RecordedStart,
  WorkflowCommand,
  WorkflowResult,
} from './commands.js';
import type {
  Resources,
  RunEnd,
  StepState,
  TaskRef,
  TaskState,
  WorkerIncarnation as Incarnation,
  WorkerState,
  WorkflowDbOptions,
  WorkflowId,
  WorkflowImage,
  WorkflowPhase,
  WorkflowState,
} from './types.js';
import {noteOutcome} from './run_outcomes.js';
import {indexRun, unindexRun} from './preemptible_runs.js';
import {putWorker} from './worker_reports.js';

/** How long an ended workflow stays readable by default, in ms. */
const KEEP_ENDED_MS = 180_000;

type Cancellation = Extract<WorkflowCommand, {kind: 'cancel'}>;
type RemoveWorker = Extract<WorkflowCommand, {kind: 'remove_worker'}>;

const APPLIED: WorkflowResult = {kind: 'applied'};

/** State machine of workflows, workers and the bundle in force. */
export class WorkflowDb {
  bundle: Bundle | null = null;
  /** Queues by name; one that the bundle dropped keeps its last settings. */
  readonly queues = new Map<QueueName, Queue>();
  readonly customers = new KnownCustomers();
  /** Resources that customers have running. */
  readonly usage = new CustomerUsage();
  readonly workflows = new Map<WorkflowId, WorkflowState>();
  readonly workers = new Map<WorkerId, WorkerState>();
  readonly departed = new DepartedWorkers();
  readonly orphans = new OrphanedRuns();
  /** Tasks under which workers have crashed. */
  readonly crashes = new TaskCrashes(this.workflows);
  /** Run times and worker speeds, learned from the ends of runs. */
  readonly estimates = new RunEstimates();
  /** Which kinds of tasks slow each other down, learned from the same ends. */
  readonly interference = new Interference();
  readonly open = new OpenWorkflows();
  /** Accepted submissions by customer. */
  readonly rates: CustomerRates;
  /** Runs that may have to be stopped. */
  readonly running = new StopCandidates();
  readonly ended: EndedWorkflows;
  /** Ids whose submissions are refused, as they were cancelled before. */
  readonly cancelled: CancelledIds;
  private lastIndex = 0;

  constructor(options: Partial<WorkflowDbOptions> = {}) {
    const {keepEndedMs = KEEP_ENDED_MS, rate} = options;
    this.rates = new CustomerRates(rate);
    this.ended = new EndedWorkflows(this.workflows, keepEndedMs);
    this.cancelled = new CancelledIds(keepEndedMs);
  }

  /** Log index of the last applied record. */
  get index(): number {
    return this.lastIndex;
  }

  /** Advances past a log index without a record. */
  skip(index: number): void {
    this.lastIndex = index;
    this.ended.startRecord();
  }

  apply(index: number, command: WorkflowCommand): WorkflowResult {
    this.lastIndex = index;
    this.ended.startRecord();
    switch (command.kind) {
      case 'put_bundle':
        return this.putBundle(command.bundle);
      case 'submit':
        return this.submit(command);
      case 'cancel':
        return this.cancel(command);
      case 'put_worker':
        if (!this.departed.has(command.report))
          putWorker(this.workers, command.report);
        return APPLIED;
      case 'remove_worker':
        this.removeWorker(command);
        return APPLIED;
      case 'start_runs':
        for (const start of command.starts) this.startRun(start, command.at);
        return APPLIED;
      case 'end_runs':
        this.endRuns(command);
        return APPLIED;
      case 'void_runs':
        saveCheckpoints(this, command.life, command.runs);
        for (const {task, run} of command.runs)
          this.removeRun(command.life, task, run);
        return APPLIED;
      default:
        return assertNever(command);
    }
  }

  /** Steps of an occurrence, including one that has not started yet. */
  stepsOf(workflow: WorkflowState, occurrence: number): readonly StepState[] {
    return (
      workflow.occurrences.get(occurrence) ?? unstartedSteps(workflow.spec)
    );
  }

  /** State of a task; undefined if its workflow or occurrence is not held. */
  findTask(ref: TaskRef): TaskState | undefined {
    const workflow = this.workflows.get(ref.workflow);
    return workflow?.occurrences.get(ref.occurrence)?.[ref.step]?.tasks[
      ref.index
    ];
  }

  /** State of a worker if the given incarnation is the registered one. */
  findIncarnation({worker, bornAt}: Incarnation): WorkerState | undefined {
    const state = this.workers.get(worker);
    return state?.report.bornAt === bornAt ? state : undefined;
  }

  /** The whole state as plain data. */
  toImage(): WorkflowImage {
    return imageOf(this);
  }

  /** Replaces the whole state by an image. */
  restore(image: WorkflowImage): void {
    this.lastIndex = image.index;
    this.bundle = image.bundle;
    this.queues.clear();
    for (const queue of image.queues) this.queues.set(queue.name, queue);
    this.customers.restore(image.customers, image.droppedCustomers);
    this.workflows.clear();
    this.open.clear();
    this.ended.clear();
    this.rates.clear();
    for (const kept of image.workflows)
      this.addWorkflow({
        ...kept,
        occurrences: new Map(
          kept.occurrences.map(([at, steps]) => [at, steps.map(withIdleCount)]),
        ),
        activeRuns: 0,
      });
    this.ended.sort();
    this.cancelled.restore(image.cancelled);
    this.departed.restore(image.departed);
    this.orphans.restore(image.orphans);
    this.crashes.restore(image.crashes);
    this.estimates.restore(image.estimates);
    this.interference.restore(image.interference);
    this.workers.clear();
    for (const kept of image.workers)
      this.workers.set(kept.report.worker, restoreWorker(kept, this));
    this.rebuildActiveRuns();
  }

  /** Rebuilds the counts and the index of active runs from the whole state. */
  private rebuildActiveRuns(): void {
    this.running.clear();
    this.usage.recount(this.workflows.values());
    for (const workflow of this.workflows.values()) {
      workflow.activeRuns = countActiveRuns(workflow);
      if (workflow.phase !== 'open' && workflow.activeRuns > 0)
        this.running.ending.add(workflow.id);
    }
    for (const {active} of this.workers.values())
      for (const {task} of active.values()) this.addStopCandidate(task);
  }

  /** Resources that a task holds on its worker. */
  resourcesOf({workflow, step}: TaskRef): Resources {
    const spec = this.workflows.get(workflow)?.spec.steps[step];
    return !spec || spec.usesLeftover ? NO_RESOURCES : summable(spec.room);
  }

  private addStopCandidate(task: TaskRef): void {
    const spec = this.workflows.get(task.workflow)?.spec.steps[task.step];
    this.running.add(task, {
      isGang: spec?.isGang === true,
      isDone: this.findTask(task)?.isDone === true,
    });
  }

  private addWorkflow(workflow: WorkflowState): void {
    this.workflows.set(workflow.id, workflow);
    this.rates.noteAccepted(workflow);
    if (workflow.phase === 'open') this.open.set(workflow.id, workflow);
    else this.ended.add(workflow.id, workflow.endedAt);
  }

  private putBundle(bundle: Bundle): WorkflowResult {
    if (this.bundle && bundle.version <= this.bundle.version)
      return {kind: 'superseded', version: this.bundle.version};
    this.bundle = bundle;
    for (const queue of bundle.queues) this.queues.set(queue.name, queue);
    this.customers.put(bundle.customers ?? [], this);
    return APPLIED;
  }

  private submit(command: Submission): WorkflowResult {
    this.ended.removeOld(command.at);
    this.cancelled.removeOld(command.at);
    if (this.workflows.has(command.id)) return APPLIED;
    if (this.cancelled.has(command.id)) return {kind: 'cancelled_before'};
    this.customers.noteWork(command.customer);
    this.addWorkflow(acceptedWorkflow(command));
    return APPLIED;
  }

  private cancel({id, at, remembers = false}: Cancellation): WorkflowResult {
    const workflow = this.workflows.get(id);
    if (!workflow) {
      const isRemembered = remembers && this.cancelled.add(id, at);
      return {kind: 'no_workflow', isRemembered};
    }
    if (workflow.phase === 'open') this.finish(workflow, 'cancelled', at);
    return APPLIED;
  }

  /** Removes a worker; its runs are over. */
  private removeWorker(command: RemoveWorker): void {
    const {life, runs, proof, crash, isFinal, orphans} = command;
    const known = this.findIncarnation(life);
    if (proof === 'no_runs' && known && known.active.size > 0) return;
    saveCheckpoints(this, life, runs);
    if (isFinal) this.departed.add(life);
    if (!known) return;
    this.orphans.add(life.worker, orphans);
    const atFault = crash && this.crashes.noteCrash(known, crash);
    for (const {task, run} of [...known.active.values()])
      this.removeRun(life, task, run);
    this.workers.delete(life.worker);
    atFault?.forEach(item => this.finish(item, 'failed', crash!.at));
  }

  private startRun(start: RecordedStart, startedAt?: number): void {
    const {task, run, worker, bornAt} = start;
    const workflow = this.open.get(task.workflow);
    const workerState = this.findIncarnation({worker, bornAt});
    if (!workflow || !workerState) return;
    let steps = workflow.occurrences.get(task.occurrence);
    if (!steps) {
      steps = newOccurrence(workflow.spec);
      workflow.occurrences.set(task.occurrence, steps);
    }
    const state = steps[task.step]?.tasks[task.index];
    if (!state || state.isDone || run <= state.lastRun) return;
    workflow.hasStarted = true;
    this.orphans.delete(task, run);
    state.lastRun = run;
    const step = steps[task.step];
    if (step && state.active.length === 0) step.idleCount--;
    state.active.push({run, worker, bornAt});
    workflow.activeRuns++;
    this.usage.add(workflow, task.step);
    this.addStopCandidate(task);
    const key = taskKey(task);
    if (!workerState.active.has(key))
      workerState.used = addResources(workerState.used, this.resourcesOf(task));
    const at = startedAt === undefined ? {} : {startedAt};
    workerState.active.set(key, {task, run, ...at});
    indexRun(workerState, key, {task, run}, workflow);
  }

  private endRuns({
    life,
    ends,
    at,
    countsVoided = false,
  }: Extract<WorkflowCommand, {kind: 'end_runs'}>): void {
    const worker = this.findIncarnation(life);
    if (!worker) return;
    for (const end of ends) {
      if (end.sequence <= worker.endsRecorded) continue;
      worker.endsRecorded = end.sequence;
      this.crashes.noteEnd(worker, end, at);
      this.orphans.delete(end.task, end.run);
      noteOutcome(this, worker, end, at);
      const disturbedLog = learnNeighbours(this, worker, end, at);
      learnFromEnd(this, worker, end, at, disturbedLog);
      const isActive = this.removeRun(life, end.task, end.run);
      const wasOrdered = end.run <= (this.findTask(end.task)?.lastRun ?? 0);
      if (isActive || (countsVoided && wasOrdered)) this.applyEnd(end, at);
    }
  }

  /** Removes an active run. @returns whether it was active. */
  private removeRun(life: Incarnation, task: TaskRef, run: number): boolean {
    const worker = this.findIncarnation(life);
    const key = taskKey(task);
    if (worker?.active.get(key)?.run === run) {
      worker.active.delete(key);
      worker.used = subtractResources(worker.used, this.resourcesOf(task));
      unindexRun(worker, key);
    }
    const state = this.findTask(task);
    const at = state?.active.findIndex(
      active =>
        active.run === run &&
        active.worker === life.worker &&
        active.bornAt === life.bornAt,
    );
    if (!state || at === undefined || at < 0) return false;
    state.active.splice(at, 1);
    this.updateAfterRunEnd(task, state);
    return true;
  }

  private applyEnd({task, run, outcome, checkpoint}: RunEnd, at: number): void {
    const workflow = this.open.get(task.workflow);
    const step = workflow?.occurrences.get(task.occurrence)?.[task.step];
    const state = step?.tasks[task.index];
    const spec = workflow?.spec.steps[task.step];
    if (!workflow || !step || !state || !spec) return;
    updateCheckpoint(state, run, checkpoint);
    if (outcome === 'done' && !spec.isLongRunning) {
      // A gang is done as a whole.
      if (spec.isGang) for (const member of step.tasks) markDone(step, member);
      else markDone(step, state);
      if (state.active.length > 0) this.addStopCandidate(task);
      this.finishIfDone(workflow, task.occurrence, at);
    } else if (outcome === 'failed' && !spec.isLongRunning) {
      const failures = countFailure(spec, step, {task, run});
      const maxAttempts = this.queues.get(workflow.queue)?.maxAttempts ?? 1;
      if (!state.isDone && failures >= maxAttempts)
        this.finish(workflow, 'failed', at);
    }
  }

  private finishIfDone(
    workflow: WorkflowState,
    occurrence: number,
    at: number,
  ): void {
    // Ends of further members or copies arrive after the occurrence is done.
    if (!isOccurrenceDone(workflow.occurrences.get(occurrence))) return;
    if (areAllOccurrencesDone(workflow)) this.finish(workflow, 'done', at);
  }

  private finish(
    workflow: WorkflowState,
    phase: Exclude<WorkflowPhase, 'open'>,
    at: number,
  ): void {
    this.ended.finish(workflow, this.queues.get(workflow.queue), phase, at);
    this.open.delete(workflow.id);
    this.crashes.forget(workflow.id);
    this.estimates.forget(workflow.id);
    this.interference.forget(workflow.id);
    if (workflow.activeRuns === 0) discardDetails(workflow);
    else this.running.ending.add(workflow.id);
  }

  private updateAfterRunEnd(task: TaskRef, state: TaskState): void {
    const workflow = this.workflows.get(task.workflow);
    const step = workflow?.occurrences.get(task.occurrence)?.[task.step];
    if (!workflow || !step) return;
    workflow.activeRuns--;
    this.usage.remove(workflow, task.step);
    if (state.active.length === 0) {
      if (!state.isDone) step.idleCount++;
      this.running.remove(task, !hasActiveRuns(step));
    }
    if (workflow.activeRuns > 0 || workflow.phase === 'open') return;
    this.running.ending.delete(workflow.id);
    discardDetails(workflow);
  }
}
