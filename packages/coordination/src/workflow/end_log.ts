/** Logs when the end of a workflow is in the log, and how long recording it took. */
import type Logger from 'bunyan';
import type {WorkflowDb, WorkflowEnd} from '@primrosewick/state';
import {CrashLog, type RemoveWorker} from './crash_log.js';

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

  /** Notes the end of a workflow whose last run has ended, at a wall time in ms. */
  note(end: WorkflowEnd, wall: number): void {
    const {id, queue, phase, acceptedAt, endedAt, dueAt} = end;
    this.logger.info(
      {
        decision: 'workflow_ended',
        req: id,
        queue,
        outcome: phase,
        index: this.db.index,
        lifeMs: endedAt - acceptedAt,
        isInTime: endedAt <= dueAt,
        stages: {recorded: Math.max(0, wall - endedAt)},
      },
      'end of a workflow is in the log',
    );
  }
}
