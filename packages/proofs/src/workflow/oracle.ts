/**
 * Records what workers observe and checks it against the scheduler's
 * guarantees.
 */
import {
  stepKey,
  taskKey,
  type RunOutcome,
  type StepKey,
  type TaskKey,
  type TaskRef,
  type WorkerId,
  type WorkflowSpec,
} from '@primrosewick/state';
import {findCapViolation, type CapOracleOptions} from './cap_oracle.js';

/**
 * A speculative copy may start up to this long after the end of the other run
 * was acknowledged, in ms.
 */
const COPY_SLACK_MS = 1000;
/** Crashes under a task after which its starts are counted. */
const MAX_CRASHES = 3;
/** Starts after these crashes that break the guarantee. */
const TOO_MANY_STARTS = 3;

/** Records starts and ends at the workers where they happen. */
export class WorkflowOracle {
  readonly violations: string[] = [];
  private readonly running = new Map<TaskKey, Map<WorkerId, number>>();
  /** Tasks with a run that ended as done, whether acknowledged or not. */
  private readonly done = new Set<TaskKey>();
  /**
   * When the end of a task as done was acknowledged to its worker; that is
   * final.
   */
  private readonly acknowledgedAt = new Map<TaskKey, number>();
  private readonly lastStartAt = new Map<TaskKey, number>();
  /** Checkpoints that runs of a step have saved. */
  private readonly saved = new Map<StepKey, Set<string>>();
  private readonly doneCounts = new Map<StepKey, number>();
  /** Number of workers that each task has crashed. */
  private readonly crashes = new Map<TaskKey, number>();
  private readonly startsAfterCrashes = new Map<TaskKey, number>();
  /** Crashes of workers that ran each task, and those among them by chance. */
  private readonly crashesUnder = new Map<TaskKey, number>();
  private readonly chanceCrashes = new Set<TaskKey>();
  /** Ends as failed of each task, and of each step that is a gang. */
  private readonly failures = new Map<string, number>();

  constructor(
    private readonly specOf: (id: string) => WorkflowSpec | undefined,
    private readonly customerOf: CapOracleOptions['customerOf'] = () =>
      undefined,
  ) {}

  /** Records a contradiction. */
  addViolation(what: string): void {
    this.violations.push(what);
  }

  /** Throws an Error with the first contradiction. */
  check(): void {
    const [first] = this.violations;
    if (first) throw new Error(first);
  }

  /** Whether a task has ended as done. */
  isDone(task: TaskRef): boolean {
    return this.done.has(taskKey(task));
  }

  recordStart(task: TaskRef, run: number, worker: WorkerId, at: number): void {
    const key = taskKey(task);
    const places = this.running.get(key) ?? new Map<WorkerId, number>();
    const isCopyable = this.allowsCopies(task);
    if (places.size > 0 && !isCopyable)
      this.addViolation(
        `${key} run ${run} on ${worker} starts while it runs on ${[...places]}`,
      );
    const slackMs = isCopyable ? COPY_SLACK_MS : 0;
    const acknowledgedAt = this.acknowledgedAt.get(key);
    if (acknowledgedAt !== undefined && at >= acknowledgedAt + slackMs)
      this.addViolation(`${key} starts after its end as done was acknowledged`);
    this.lastStartAt.set(key, at);
    this.checkCrashes(key);
    this.checkOrder(task);
    this.checkSpread(task, worker);
    places.set(worker, run);
    this.running.set(key, places);
    const exceeded = findCapViolation(
      {
        customerOf: this.customerOf,
        stepOf: ({workflow, step: at}) => this.specOf(workflow)?.steps[at],
      },
      task,
      this.running,
    );
    if (exceeded !== undefined) this.addViolation(exceeded);
  }

  /** Records that a run saved a checkpoint. */
  recordCheckpoint(task: TaskRef, checkpoint: string): void {
    const step = stepKey(task);
    this.saved.set(step, (this.saved.get(step) ?? new Set()).add(checkpoint));
  }

  /**
   * Records that a run resumes from a checkpoint; a gang may resume from that
   * of any member.
   */
  recordResume(task: TaskRef, checkpoint: string): void {
    const isGang =
      this.specOf(task.workflow)?.steps[task.step]?.isGang === true;
    const isOwn = isGang || checkpoint.startsWith(`${taskKey(task)}#`);
    if (!isOwn || this.saved.get(stepKey(task))?.has(checkpoint) !== true)
      this.addViolation(
        `${taskKey(task)} resumes from ${checkpoint}, which is not its own`,
      );
  }

  recordEnd(task: TaskRef, worker: WorkerId, outcome: RunOutcome): void {
    const key = taskKey(task);
    this.running.get(key)?.delete(worker);
    if (outcome === 'failed')
      for (const unit of [key, stepKey(task)])
        this.failures.set(unit, (this.failures.get(unit) ?? 0) + 1);
    if (outcome !== 'done' || this.done.has(key)) return;
    this.done.add(key);
    const step = stepKey(task);
    this.doneCounts.set(step, (this.doneCounts.get(step) ?? 0) + 1);
  }

  /**
   * Records that an end as done is acknowledged to its worker. An end that was
   * never acknowledged may be lost with its worker, and its task runs again.
   */
  recordAcknowledged(task: TaskRef, endedAt: number, at: number): void {
    const key = taskKey(task);
    const isRepeated = (this.lastStartAt.get(key) ?? 0) > endedAt;
    if (isRepeated && !this.allowsCopies(task))
      this.addViolation(
        `${key} was started again after an end as done that is now acknowledged`,
      );
    if (!this.acknowledgedAt.has(key)) this.acknowledgedAt.set(key, at);
  }

  /** Whether copies of a task may run concurrently; a gang is never copied. */
  private allowsCopies(task: TaskRef): boolean {
    const step = this.specOf(task.workflow)?.steps[task.step];
    return step?.isSpeculative === true && !step.isGang;
  }

  /** Records the crash of a worker, which ends all its runs. */
  recordCrash(worker: WorkerId): void {
    for (const [key, places] of this.running)
      if (places.delete(worker))
        this.crashesUnder.set(key, (this.crashesUnder.get(key) ?? 0) + 1);
  }

  /** Records the end of a worker after a goodbye, which no task has caused. */
  recordDeparture(worker: WorkerId): void {
    for (const places of this.running.values()) places.delete(worker);
  }

  /** Number of runs on a worker. */
  runCountOn(worker: WorkerId): number {
    return [...this.running.values()].filter(places => places.has(worker))
      .length;
  }

  /** Records that a worker is about to crash by itself, alone. */
  recordChanceCrash(worker: WorkerId): void {
    for (const [key, places] of this.running)
      if (places.has(worker)) this.chanceCrashes.add(key);
  }

  /** Whether two workers crashed under a task, one of them by chance. */
  mayBeGivenUp(task: TaskRef): boolean {
    const key = taskKey(task);
    const count = this.crashesUnder.get(key) ?? 0;
    return count >= 2 && this.chanceCrashes.has(key);
  }

  private checkCrashes(key: TaskKey): void {
    if ((this.crashes.get(key) ?? 0) < MAX_CRASHES) return;
    const count = (this.startsAfterCrashes.get(key) ?? 0) + 1;
    this.startsAfterCrashes.set(key, count);
    if (count >= TOO_MANY_STARTS)
      this.addViolation(`${key} starts again after it has crashed 3 workers`);
  }

  /** Records that a task has crashed the worker that started it. */
  recordCrashBy(task: TaskRef): void {
    const key = taskKey(task);
    this.crashes.set(key, (this.crashes.get(key) ?? 0) + 1);
  }

  /** Number of workers that the tasks of all workflows have crashed. */
  get crashCount(): number {
    return [...this.crashes.values()].reduce((sum, count) => sum + count, 0);
  }

  /** Whether a workflow has failed by ends of its tasks, `maxAttempts` of them. */
  hasFailedBy(task: TaskRef, maxAttempts: number): boolean {
    const isGang =
      this.specOf(task.workflow)?.steps[task.step]?.isGang === true;
    const unit = isGang ? stepKey(task) : taskKey(task);
    return (this.failures.get(unit) ?? 0) >= maxAttempts;
  }

  private checkOrder(task: TaskRef): void {
    const spec = this.specOf(task.workflow);
    for (const step of spec?.steps[task.step]?.after ?? []) {
      const count = this.doneCounts.get(stepKey({...task, step})) ?? 0;
      if (count < (spec?.steps[step]?.taskCount ?? 0))
        this.addViolation(
          `${taskKey(task)} starts before step ${step} is done`,
        );
    }
  }

  private checkSpread(task: TaskRef, worker: WorkerId): void {
    const step = this.specOf(task.workflow)?.steps[task.step];
    if (!step || step.maxPerWorker === 0) return;
    const beside = Array.from({length: step.taskCount}, (_, index) =>
      this.running.get(taskKey({...task, index})),
    ).filter(places => places?.has(worker)).length;
    if (beside >= step.maxPerWorker)
      this.addViolation(
        `${taskKey(task)} runs beside ${beside} tasks of its step on ${worker}`,
      );
  }
}
