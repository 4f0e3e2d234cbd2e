/** Keeps ended workflows readable for a while. */
import type {Queue} from '../bundle/types.js';
import type {WorkflowEnd, WorkflowId, WorkflowState} from './types.js';
import {workflowEndOf} from './workflow_end.js';

interface EndedWorkflow {
  readonly id: WorkflowId;
  /** Wall time of the end, in ms since 1970. */
  readonly at: number;
}

/** The ended workflows, in the order of their ends. */
export class EndedWorkflows {
  private ended: EndedWorkflow[] = [];
  private lastEnds: WorkflowEnd[] = [];

  constructor(
    private readonly workflows: Map<WorkflowId, WorkflowState>,
    private readonly keepEndedMs: number,
  ) {}

  /** Workflows that the last applied record has ended. */
  get byLastRecord(): readonly WorkflowEnd[] {
    return this.lastEnds;
  }

  /** Begins the next record. */
  startRecord(): void {
    if (this.lastEnds.length > 0) this.lastEnds = [];
  }

  /** Ends an open workflow, whose queue may no longer be known. */
  finish(
    workflow: WorkflowState,
    queue: Queue | undefined,
    phase: WorkflowEnd['phase'],
    endedAt: number,
  ): void {
    const end = workflowEndOf(workflow, queue, {phase, endedAt});
    workflow.phase = phase;
    workflow.endedAt = endedAt;
    this.lastEnds.push(end);
    this.add(workflow.id, endedAt);
  }

  /** Adds a workflow that has ended before. */
  add(id: WorkflowId, at: number): void {
    this.ended.push({id, at});
  }

  clear(): void {
    this.ended = [];
    this.lastEnds = [];
  }

  /** Sorts workflows that were added in another order. */
  sort(): void {
    this.ended.sort((a, b) => a.at - b.at);
  }

  /** Removes workflows without active runs that ended `keepEndedMs` ago. */
  removeOld(now: number): void {
    const isOld = ({at}: EndedWorkflow): boolean => at + this.keepEndedMs < now;
    if (!this.ended[0] || !isOld(this.ended[0])) return;
    this.ended = this.ended.filter(entry => {
      const workflow = this.workflows.get(entry.id);
      if (!isOld(entry) || (workflow && workflow.activeRuns > 0)) return true;
      this.workflows.delete(entry.id);
      return false;
    });
  }
}
