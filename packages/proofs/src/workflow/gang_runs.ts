/** Synchronizes the members of a gang's run across workers. */
import {
  stepKey,
  taskKey,
  type RunOutcome,
  type TaskKey,
  type TaskRef,
} from '@primrosewick/state';
import type {EventQueue} from '../world/event_queue.js';

type EndMember = (outcome: RunOutcome) => void;

interface GangRun {
  readonly members: Map<TaskKey, EndMember>;
  hasAllMembers: boolean;
  hasEnded: boolean;
}

/** All runs of gangs, by step and run number. */
export class GangRuns {
  private readonly runs = new Map<string, GangRun>();

  constructor(private readonly queue: EventQueue) {}

  /** Adds a member; the run begins to work once all have joined. */
  join(
    task: TaskRef,
    run: number,
    options: {
      readonly taskCount: number;
      readonly runMs: number;
      readonly end: EndMember;
    },
  ): void {
    const gang = this.gangOf(task, run);
    gang.members.set(taskKey(task), options.end);
    if (gang.hasEnded || gang.members.size < options.taskCount) return;
    gang.hasAllMembers = true;
    this.queue.after(options.runMs, () => this.finish(gang, 'done'));
  }

  /** Removes a member; a run that had all its members ends as broken. */
  leave(task: TaskRef, run: number): void {
    const gang = this.gangOf(task, run);
    gang.members.delete(taskKey(task));
    if (gang.hasAllMembers) this.finish(gang, 'broken');
  }

  /** Whether all members have joined. */
  hasAllMembers(task: TaskRef, run: number): boolean {
    return this.gangOf(task, run).hasAllMembers;
  }

  private finish(gang: GangRun, outcome: RunOutcome): void {
    if (gang.hasEnded) return;
    gang.hasEnded = true;
    for (const end of [...gang.members.values()]) end(outcome);
  }

  private gangOf(task: TaskRef, run: number): GangRun {
    const name = `${stepKey(task)}#${run}`;
    const gang = this.runs.get(name) ?? {
      members: new Map(),
      hasAllMembers: false,
      hasEnded: false,
    };
    this.runs.set(name, gang);
    return gang;
  }
}
