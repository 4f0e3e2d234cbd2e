/** Logs when the end of a workflow is in the log, and how long recording it took. */
import type Logger from 'bunyan';
import type {WorkflowCommand, WorkflowDb} from '@primrosewick/state';
import {CrashLog, type RemoveWorker} from './crash_log.js';

/** Record of the ends of runs. */
export type EndRuns = Extract<WorkflowCommand, {kind: 'end_runs'}>;

/** Logs the ends of workflows. */
export class EndLog {
  private readonly crashes: CrashLog;

  constructor(
    private readonly logger: Logger,
    private readonly db: WorkflowDb,
  ) {
    this.crashes = new CrashLog(logger, db);
  }

  /** Notes an applied record of a worker that is gone. */
  noteRemoval(command: RemoveWorker): void {
    this.crashes.note(command);
  }

  /** Notes an applied record of ends, at a wall time in ms. */
  note({ends, at}: EndRuns, wall: number): void {
    for (const id of new Set(ends.map(({task}) => task.workflow))) {
      const workflow = this.db.workflows.get(id);
      // Runs that end after their workflow do not change its state.
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
        'end of a workflow is in the log',
      );
    }
  }
}
