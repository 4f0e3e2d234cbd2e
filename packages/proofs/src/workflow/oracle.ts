/** What workers saw, and whether it contradicts a promise. */
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

/** A copy may start up to this long after the end of the other was noted, in ms. */
const COPY_SLACK_MS = 1000;

/** Notes starts and ends where they happen. */
export class WorkflowOracle {
  readonly violations: string[] = [];
  private readonly running = new Map<TaskKey, Map<WorkerId, number>>();
  /** Tasks of which a run has ended as done, whether it was noted or not. */
  private readonly done = new Set<TaskKey>();
  /** Tasks whose end as done was acknowledged to its worker; that stands. */
  private readonly notedAt = new Map<TaskKey, number>();
  private readonly lastStartAt = new Map<TaskKey, number>();
  /** Checkpoints that runs of a step have left. */
  private readonly saved = new Map<StepKey, Set<string>>();
  private readonly doneCounts = new Map<StepKey, number>();

  constructor(
    private readonly specOf: (id: string) => WorkflowSpec | undefined,
  ) {}

  /** Notes a contradiction. */
  addViolation(what: string): void {
    this.violations.push(what);
  }

  /** Throws at the first contradiction. */
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
    const isCopyable = this.mayBeCopied(task);
    if (places.size > 0 && !isCopyable)
      this.addViolation(
        `${key} run ${run} on ${worker} starts beside ${[...places]}`,
      );
    const slackMs = isCopyable ? COPY_SLACK_MS : 0;
    const notedAt = this.notedAt.get(key);
    if (notedAt !== undefined && at >= notedAt + slackMs)
      this.addViolation(`${key} starts after it was done`);
    this.lastStartAt.set(key, at);
    this.checkOrder(task);
    this.checkSpread(task, worker);
    places.set(worker, run);
    this.running.set(key, places);
  }

  /** Notes that a run has left a checkpoint. */
  recordCheckpoint(task: TaskRef, checkpoint: string): void {
    const step = stepKey(task);
    this.saved.set(step, (this.saved.get(step) ?? new Set()).add(checkpoint));
  }

  /** Notes that a run goes on from a checkpoint; a gang's is that of any member. */
  recordResume(task: TaskRef, checkpoint: string): void {
    const isGang =
      this.specOf(task.workflow)?.steps[task.step]?.isGang === true;
    const isOwn = isGang || checkpoint.startsWith(`${taskKey(task)}#`);
    if (!isOwn || this.saved.get(stepKey(task))?.has(checkpoint) !== true)
      this.addViolation(
        `${taskKey(task)} goes on from ${checkpoint}, not its own`,
      );
  }

  recordEnd(task: TaskRef, worker: WorkerId, outcome: RunOutcome): void {
    const key = taskKey(task);
    this.running.get(key)?.delete(worker);
    if (outcome !== 'done' || this.done.has(key)) return;
    this.done.add(key);
    const step = stepKey(task);
    this.doneCounts.set(step, (this.doneCounts.get(step) ?? 0) + 1);
  }

  /**
   * Notes that an end as done is acknowledged to its worker. An end that was
   * never acknowledged may be lost with its worker, and its task runs again.
   */
  recordAcknowledged(task: TaskRef, endedAt: number, at: number): void {
    const key = taskKey(task);
    const isRepeated = (this.lastStartAt.get(key) ?? 0) > endedAt;
    if (isRepeated && !this.mayBeCopied(task))
      this.addViolation(
        `${key} was started after an end that is noted as done`,
      );
    if (!this.notedAt.has(key)) this.notedAt.set(key, at);
  }

  /** Whether copies of a task may run side by side; a gang is never copied. */
  private mayBeCopied(task: TaskRef): boolean {
    const step = this.specOf(task.workflow)?.steps[task.step];
    return step?.isSpeculative === true && !step.isGang;
  }

  /** All that ran on a worker is gone with it. */
  recordCrash(worker: WorkerId): void {
    for (const places of this.running.values()) places.delete(worker);
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
        `${taskKey(task)} is beside ${beside} others on ${worker}`,
      );
  }
}
