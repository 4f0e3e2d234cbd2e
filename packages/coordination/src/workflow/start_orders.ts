/** Records planned starts and hands them to the channels of their workers. */
import {
  stepKey,
  type PlannedStart,
  type StepKey,
  type WorkerId,
  type WorkflowCommand,
  type WorkflowDb,
  type WorkflowId,
} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import type {AdviceDispatcher} from './advice_dispatcher.js';
import {findWithheldGangs} from './planned_starts.js';
import {isActiveRun, startRecord} from './run_lists.js';
import type {RunLog} from './run_log.js';
import type {StartMoment} from './start_timeline.js';
import type {WorkerChannel} from './worker_channel.js';
import type {WorkerViews} from './worker_views.js';

/** Options of {@link StartOrders}. */
export interface StartOrdersOptions {
  readonly db: WorkflowDb;
  readonly clock: Clock;
  readonly channels: ReadonlyMap<WorkerId, WorkerChannel>;
  readonly advice: Pick<AdviceDispatcher, 'ticketOf'>;
  readonly views: Pick<WorkerViews, 'freeResources'>;
  readonly runLog: Pick<RunLog, 'started'>;
  /** Proposes a record; false if it was rejected. */
  readonly record: (command: WorkflowCommand) => Promise<boolean>;
  readonly noteMoment: (id: WorkflowId, moment: StartMoment) => void;
  /** Whether the leadership has ended. */
  readonly isClosed: () => boolean;
}

/** Starts of one leadership. */
export class StartOrders {
  constructor(private readonly options: StartOrdersOptions) {}

  /** Records the starts of one pass and sends those that still hold. */
  async startRuns(starts: readonly PlannedStart[]): Promise<void> {
    const {clock, db, channels, advice, record, noteMoment} = this.options;
    for (const {task, run, worker} of starts) {
      channels.get(worker)?.expect(task, run);
      noteMoment(task.workflow, 'planned');
    }
    const isRecorded = await record(startRecord(starts, clock.wall()));
    const withheld = findWithheldGangs({db, channels, advice}, starts);
    for (const start of starts) this.orderStart(start, isRecorded, withheld);
  }

  private orderStart(
    start: PlannedStart,
    isRecorded: boolean,
    withheld: ReadonlySet<StepKey>,
  ): void {
    const {clock, db, channels, advice, views, runLog, isClosed, noteMoment} =
      this.options;
    const {task, run, worker, checkpoint, ticket} = start;
    const channel = channels.get(worker);
    const workflow = db.open.get(task.workflow);
    if (!channel) return;
    const isActive = isActiveRun(db, start);
    if (!isRecorded || !workflow || !isActive || isClosed())
      return channel.forget(task);
    const request = {task, run, checkpoint, payload: workflow.spec.payload};
    if (withheld.has(stepKey(task)))
      return void channel.abandonStart(request, 'a member cannot start');
    // The ticket may have been renewed or have lapsed while the start was recorded.
    const validTicket = ticket && advice.ticketOf(task, worker);
    if (ticket !== undefined && validTicket === undefined)
      return void channel.abandonStart(request, 'the ticket has lapsed');
    runLog.started({
      task,
      run,
      worker,
      index: db.index,
      waitMs: clock.wall() - workflow.acceptedAt,
      free: views.freeResources(worker).cpuMillis,
    });
    noteMoment(task.workflow, 'recorded');
    void channel.start({...request, ...(validTicket && {ticket: validTicket})});
  }
}
