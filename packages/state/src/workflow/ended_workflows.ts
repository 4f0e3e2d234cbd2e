/** Keeps ended workflows readable for a while. */
import type {WorkflowId, WorkflowState} from './types.js';

interface EndedWorkflow {
  readonly id: WorkflowId;
  /** Wall time of the end, in ms since 1970. */
  readonly at: number;
}

/** The ended workflows, in the order of their ends. */
export class EndedWorkflows {
  private ended: EndedWorkflow[] = [];

  constructor(
    private readonly workflows: Map<WorkflowId, WorkflowState>,
    private readonly keepEndedMs: number,
  ) {}

  add(id: WorkflowId, at: number): void {
    this.ended.push({id, at});
  }

  clear(): void {
    this.ended = [];
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
