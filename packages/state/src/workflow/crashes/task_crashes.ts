/** The crashes under the tasks of the open workflows. */
import {taskKey} from '../refs.js';
import type {
  RunEnd,
  TaskRef,
  WorkerRun,
  WorkerState,
  WorkflowId,
  WorkflowState,
} from '../types.js';
import {
  CRASH_WINDOW_MS,
  CrashLedger,
  SOUND_RUN_MS,
  crashUnitOf,
} from './core.js';
import type {CrashEvidence, CrashUnit} from './types.js';

/** A ledger of crashes that is told of workers and ends of runs. */
export class TaskCrashes extends CrashLedger {
  constructor(
    private readonly workflows: ReadonlyMap<WorkflowId, WorkflowState>,
  ) {
    super();
  }

  /** What a crash of a task's worker is counted for. */
  unitOf(task: TaskRef): CrashUnit {
    return crashUnitOf(task, this.isGang(task));
  }

  /**
   * Notes the crash of a worker; one that has said that it leaves blames no task.
   * @returns the workflows with a task that is at fault.
   */
  noteCrash(
    {report, active}: WorkerState,
    evidence: CrashEvidence,
  ): Set<WorkflowState> {
    this.clearSurvivors(active.values(), evidence);
    if (report.isDraining) return new Set();
    const runs = [...active.values()]
      .filter(({task}) => this.isOpen(task))
      .map(run => ({...run, unit: this.unitOf(run.task)}));
    const atFault = new Set<WorkflowState>();
    for (const record of this.note({life: report, runs, evidence})) {
      const workflow = this.workflows.get(record.workflow)!;
      workflow.crashes = record;
      atFault.add(workflow);
    }
    return atFault;
  }

  /** Clears the task of a run that is about to end and has crashed nothing. */
  noteEnd(
    {active}: WorkerState,
    {task, run, outcome}: RunEnd,
    at: number,
  ): void {
    if (this.size === 0) return;
    const known = active.get(taskKey(task));
    if (known?.run !== run) return;
    const lastedMs = at - (known.startedAt ?? at);
    // The end of one member does not tell how the others of its gang fared.
    const isSound = lastedMs >= SOUND_RUN_MS && !this.isGang(task);
    if (outcome === 'done' || isSound) this.clear(this.unitOf(task));
  }

  /** Clears suspects whose worker was heard later than it crashes by a task. */
  private clearSurvivors(
    runs: Iterable<WorkerRun>,
    {heardAt = 0}: CrashEvidence,
  ): void {
    if (this.size === 0) return;
    for (const {task, startedAt = heardAt} of runs)
      if (startedAt < heardAt - CRASH_WINDOW_MS && !this.isGang(task))
        this.clear(this.unitOf(task));
  }

  /** Whether a task is still to be done, not by now by a copy of it. */
  private isOpen({workflow, occurrence, step, index}: TaskRef): boolean {
    const state = this.workflows.get(workflow);
    const task = state?.occurrences.get(occurrence)?.[step]?.tasks[index];
    return state?.phase === 'open' && task?.isDone !== true;
  }

  private isGang({workflow, step}: TaskRef): boolean {
    return this.workflows.get(workflow)?.spec.steps[step]?.isGang === true;
  }
}
