/** Tells when the end of a workflow was in the log, and how long that took. */
import type Logger from 'bunyan';
import type {WorkflowCommand, WorkflowDb} from '@primrosewick/state';

/** Ends of runs, as they are recorded. */
export type EndRuns = Extract<WorkflowCommand, {kind: 'end_runs'}>;

/** Lines about the ends of workflows. */
export class EndLog {
  constructor(
    private readonly logger: Logger,
    private readonly db: WorkflowDb,
  ) {}

  /** Takes ends that were applied, at a wall time in ms. */
  note({ends, at}: EndRuns, wall: number): void {
    for (const id of new Set(ends.map(({task}) => task.workflow))) {
      const workflow = this.db.workflows.get(id);
      // Later ends of a workflow change nothing that is shown.
      if (!workflow || workflow.phase === 'open' || workflow.endedAt !== at)
        continue;
      this.logger.info(
        {
          decision: 'workflow_ended',
          req: id,
          outcome: workflow.phase,
          index: this.db.index,
          stages: {recorded: Math.max(0, wall - at)},
        },
        'the last end of a workflow is in the log',
      );
    }
  }
}
