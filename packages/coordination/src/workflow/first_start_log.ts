/** Logs the time that workflows spent in each stage before their first start. */
import type Logger from 'bunyan';
import type {WorkflowId} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import type {WorkflowReplica} from './replica.js';
import type {StartTimeline} from './start_timeline.js';

/** Options of a {@link FirstStartLog}. */
export interface FirstStartLogOptions {
  readonly timeline: StartTimeline;
  readonly replica: Pick<WorkflowReplica, 'db'>;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Logs one line for the first start of each workflow. */
export class FirstStartLog {
  constructor(private readonly options: FirstStartLogOptions) {}

  /** Logs the stages of a workflow of which a task was started, unless that was done. */
  log(id: WorkflowId): void {
    const {timeline, replica, clock, logger} = this.options;
    const stages = timeline.finish(id, clock.now());
    if (!stages) return;
    const queue = replica.db.workflows.get(id)?.queue;
    logger.info(
      {decision: 'first_start', req: id, queue, stages},
      'first task of a workflow is running',
    );
  }
}
