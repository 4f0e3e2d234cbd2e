/**
 * Schedules tasks while this VM leads the log: plans from the replicated state,
 * records each start, and then sends it to the worker.
 */
import type {Subscription} from 'rxjs';
import {
  WorkerHealth,
  earlyAdviceRequests,
  evidenceOf,
  plan as planPass,
  plannerImage,
  toCellError,
  type NewWorkflow,
  type Plan,
  type PlanInput,
  type PlannedStop,
  type QueueName,
  type ReasonCode,
  type RunEvidence,
  type WorkerId,
  type WorkerIncarnation,
  type WorkflowCommand,
  type WorkflowDb,
  type WorkflowId,
} from '@primrosewick/state';
import {workMeter} from '@primrosewick/transport';
import {AdviceDispatcher} from './advice_dispatcher.js';
import {ChannelSet} from './channel_set.js';
import {EndLog} from './end_log.js';
import {FirstStartLog} from './first_start_log.js';
import {LEASE_MS, LEADERSHIP_MARGIN_MS, MAX_GRANTED_MS} from './order_terms.js';
import type {SchedulerOptions} from './scheduler_options.js';
import {PassJournal} from './pass_journal.js';
import {PassInputs} from './pass_input.js';
import {LoadReport, LOAD_INTERVAL_MS} from './load_report.js';
import {PassLoad} from './pass_load.js';
import {RunLog} from './run_log.js';
import {StartOrders} from './start_orders.js';
import {findStalled} from './stalled_runs.js';
import {StartTimeline, type StartMoment} from './start_timeline.js';
import {KnownLives} from './known_lives.js';
import {OrphanTracker} from './orphan_tracker.js';
import {WaitLog} from './wait_log.js';
import {WorkerChannel} from './worker_channel.js';
import {WorkerViews} from './worker_views.js';

/** Minimum pause between two planner passes, in ms. */
const PLAN_PAUSE_MS = 8;
/** Pause after a pass, per ms that it took, so that other work gets processor time. */
const PLAN_PAUSE_FACTOR = 2;
/** Maximum interval between two passes, in ms, so that due times are met. */
const PLAN_INTERVAL_MS = 100;
/** Interval of the check for stalled runs, in ms; detecting a stall takes seconds anyway. */
const STALL_INTERVAL_MS = 500;

/** Schedules tasks on the workers for the duration of one leadership. */
export class SchedulerTask {
  /** What is known of the incarnations of workers. */
  readonly lives: KnownLives;
  private readonly channels = new Map<WorkerId, WorkerChannel>();
  private readonly channelSet: ChannelSet;
  private readonly views: WorkerViews;
  private readonly advice: AdviceDispatcher;
  private readonly startedAt: number;
  private readonly subscriptions: Subscription[] = [];
  private readonly orphans: OrphanTracker;
  private readonly health = new WorkerHealth();
  private readonly inputs: PassInputs;
  private readonly journal: PassJournal | undefined;
  private readonly waitLog: WaitLog;
  private readonly endLog: EndLog;
  private readonly timeline = new StartTimeline();
  private readonly firstStarts: FirstStartLog;
  private readonly passLoad: PassLoad;
  private readonly load: LoadReport;
  private readonly runLog: RunLog;
  private readonly startOrders: StartOrders;
  private isPassScheduled = false;
  /** Duration of the last pass, in ms. */
  private lastPassMs = 0;
  private isClosed = false;

  constructor(private readonly options: SchedulerOptions) {
    const {replica, clock, logger, callers, ask} = options;
    this.startedAt = clock.now();
    this.lives = new KnownLives(this.channels, clock);
    this.orphans = new OrphanTracker({
      stateOf: (worker, start) => this.lives.orphanStateOf(worker, start),
      maxLeaseMs: options.workerLimits.maxLeaseMs,
    });
    this.channelSet = new ChannelSet({
      db: replica.db,
      clock,
      channels: this.channels,
      orphans: this.orphans,
      open: (life, firstFence) => this.openChannel(life, firstFence),
    });
    this.views = new WorkerViews({
      db: replica.db,
      clock,
      channels: this.channels,
      health: this.health,
      announceMs: options.workerLimits.announceMs,
    });
    this.waitLog = new WaitLog(logger);
    this.endLog = new EndLog(logger, replica.db);
    this.passLoad = new PassLoad(logger, this.startedAt);
    this.firstStarts = new FirstStartLog({...options, timeline: this.timeline});
    this.load = new LoadReport({
      db: replica.db,
      clock,
      logger,
      callerUse: () => this.advice.callerUse,
      onWaited: wait => options.onWaited?.(wait),
      onSpeeds: spread => options.onSpeeds?.(spread),
      onInterference: counts => options.onInterference?.(counts),
    });
    this.runLog = new RunLog(logger, this.load.queues);
    this.advice = new AdviceDispatcher({
      db: replica.db,
      clock,
      logger,
      callers,
      ask,
      load: this.load.advice,
      onChange: () => this.schedulePass(),
      onAdvice: (step, change) => this.journal?.noteAdvice(step, change),
      onCall: (step, moment) => this.noteMoment(step.workflow, moment),
    });
    this.inputs = new PassInputs({
      ...options,
      db: replica.db,
      channels: this.channels,
      views: this.views,
      orphans: this.orphans,
      adviceOf: key => this.advice.adviceOf(key),
    });
    this.startOrders = new StartOrders({
      db: replica.db,
      clock,
      channels: this.channels,
      advice: this.advice,
      views: this.views,
      runLog: this.runLog,
      record: command => this.record(command),
      noteMoment: (id, moment) => this.noteMoment(id, moment),
      isClosed: () => this.isClosed,
    });
    this.journal = options.recorder
      ? new PassJournal(options.recorder, () =>
          plannerImage(this.db, this.advice.all),
        )
      : undefined;
  }

  /** Starts scheduling. */
  start(): void {
    const {clock, replica} = this.options;
    this.subscriptions.push(
      replica.applied.subscribe(command => this.onApplied(command)),
      clock.every(PLAN_INTERVAL_MS).subscribe(() => {
        this.advice.dispatch();
        this.schedulePass();
      }),
      clock.every(STALL_INTERVAL_MS).subscribe(() => this.stopStalled()),
      clock.every(LOAD_INTERVAL_MS).subscribe(() => this.load.logQueues()),
    );
    this.syncChannels();
    for (const {worker, ...start} of this.db.orphans.values()) {
      const orphaned = {worker, starts: [start], hasNextLife: true};
      this.orphans.note(orphaned, this.startedAt);
    }
    this.schedulePass();
  }

  /** Stops scheduling; the next leader continues from the log. */
  close(): void {
    this.isClosed = true;
    this.advice.close();
    for (const subscription of this.subscriptions) subscription.unsubscribe();
    for (const channel of this.channels.values()) channel.close();
    this.channels.clear();
  }

  /** Notes the announcement of a worker. */
  noteAnnouncement(worker: WorkerId): void {
    this.views.noteAnnouncement(worker);
  }

  /** Asks advisers about a workflow whose submission is being recorded. */
  noteSubmission(workflow: NewWorkflow): void {
    const {advice: terms} = workflow.queue;
    if (this.isClosed || !terms) return;
    const known = {db: this.db, unusable: this.inputs.unusable};
    for (const request of earlyAdviceRequests(known, workflow))
      if (this.advice.mayAskEarly(request, terms))
        this.advice.requestAdvice(request, terms);
  }

  /** Notes that a submission was not recorded, as far as this VM knows. */
  noteUnrecorded(id: WorkflowId): void {
    this.advice.drop(id);
  }

  /** Counts a workflow of a queue that was rejected for a reason. */
  noteRefused(queue: QueueName, why: ReasonCode): void {
    this.load.queues.countFor(queue, 'refused', why);
  }

  private get db(): WorkflowDb {
    return this.options.replica.db;
  }

  private onApplied(command: WorkflowCommand): void {
    this.journal?.noteRecord(this.db.index, command);
    this.load.noteRecord(command);
    for (const end of this.db.ended.byLastRecord) this.options.onEnded?.(end);
    switch (command.kind) {
      case 'put_worker':
        this.syncChannels();
        this.channels.get(command.report.worker)?.continueLeaving();
        break;
      case 'remove_worker':
        this.endLog.noteRemoval(command);
        this.syncChannels();
        break;
      case 'start_runs':
        // A channel idles until its worker has a recorded run to watch.
        for (const {worker} of command.starts)
          this.channels.get(worker)?.checkNow();
        break;
      case 'end_runs':
        for (const {task, outcome} of command.ends) {
          this.advice.prune(task.workflow);
          const kind = evidenceOf(outcome, this.db.findTask(task));
          if (kind) this.noteEvidence(command.life.worker, task.workflow, kind);
        }
        for (const end of this.db.ended.byLastRecord)
          this.endLog.note(end, this.options.clock.wall());
        this.channels.get(command.life.worker)?.continueLeaving();
        break;
      case 'cancel':
        this.advice.prune(command.id);
        this.timeline.forget(command.id);
        break;
      case 'submit':
        // One that was cancelled before has no effect.
        if (this.db.open.has(command.id))
          this.timeline.begin(command.id, this.options.clock.now());
        break;
      case 'void_runs':
        this.channels.get(command.life.worker)?.continueLeaving();
        break;
      case 'put_bundle':
    }
    this.schedulePass();
  }

  private noteMoment(id: WorkflowId, moment: StartMoment): void {
    this.timeline.note(id, moment, this.options.clock.now());
  }

  /** Opens and closes channels, so that each registered incarnation has one. */
  private syncChannels(): void {
    if (this.isClosed) return;
    this.channelSet.sync();
  }

  private openChannel(
    life: WorkerIncarnation,
    firstFence: number,
  ): WorkerChannel {
    this.advice.forget(life.worker);
    const {orders, clock, logger, workerLimits, term, maxStaleLeaderMs} =
      this.options;
    const channel = new WorkerChannel({
      life,
      db: this.db,
      port: orders,
      clock,
      logger,
      term,
      firstFence,
      leaseMs: Math.min(LEASE_MS, workerLimits.maxLeaseMs),
      maxGrantedMs: Math.min(MAX_GRANTED_MS, workerLimits.maxLeaseMs),
      previousLeaderUntil: this.startedAt + maxStaleLeaderMs,
      mayOrder: () =>
        this.options.leadershipConfirmedAgeMs() <
        maxStaleLeaderMs - LEADERSHIP_MARGIN_MS,
      record: command => this.record(command),
      crashEvidence: () => this.lives.crashEvidenceOf(life.worker),
      onChange: () => this.schedulePass(),
      onGivenUp: this.options.onGivenUp,
      onStarted: task => this.firstStarts.log(task.workflow),
      onStartFailed: (task, failure) => {
        if (failure.kind === 'refused' && failure.why === 'unhealthy')
          this.noteEvidence(life.worker, task.workflow, 'refused');
        this.runLog.startFailed(task, life.worker, failure);
      },
      onStop: stop => this.runLog.stopped(life.worker, stop),
    });
    channel.open();
    return channel;
  }

  /** Inputs of a pass that would begin now; undefined before the first pass. */
  trialInput(): PlanInput | undefined {
    return this.inputs.trial();
  }

  private noteEvidence(
    worker: WorkerId,
    workflow: WorkflowId,
    kind: RunEvidence,
  ): void {
    const now = this.options.clock.now();
    if (!this.health.record(worker, workflow, kind, now)) return;
    this.options.logger.info(
      {change: 'worker_aside', worker, why: kind, workflow},
      'worker set aside after refused, failed or stalled runs',
    );
  }

  /** Stops stalled runs, so that they are resumed on other workers. */
  private stopStalled(): void {
    const now = this.options.clock.now();
    for (const stop of findStalled(this.db, this.channels, now)) {
      this.noteEvidence(stop.worker, stop.task.workflow, 'stalled');
      this.stopRun(stop);
    }
  }

  /** Proposes a record; @returns false if rejected, as this VM then no longer leads. */
  private async record(command: WorkflowCommand): Promise<boolean> {
    if (this.isClosed) return false;
    try {
      await this.options.propose(command);
      return true;
    } catch (err) {
      this.options.logger.info(
        {change: 'record_failed', kind: command.kind, err: String(err)},
        'proposed record was not confirmed',
      );
      return false;
    }
  }

  /** Schedules a pass after a short pause, so that concurrent changes share it. */
  private schedulePass(): void {
    if (this.isPassScheduled || this.isClosed) return;
    this.isPassScheduled = true;
    const pauseMs = Math.max(
      PLAN_PAUSE_MS,
      this.lastPassMs * PLAN_PAUSE_FACTOR,
    );
    this.options.clock.after(pauseMs).subscribe(() => {
      this.isPassScheduled = false;
      if (!this.isClosed) this.tryPass();
    });
  }

  /**
   * Runs a pass and logs its failure. The same pass would fail at the next
   * leader as well, so a failure must not end this leadership.
   */
  private tryPass(): void {
    try {
      workMeter.measure('pass', () => this.runPass());
    } catch (err) {
      this.lastPassMs = PLAN_INTERVAL_MS;
      this.options.logger.error(
        {change: 'pass_failed', err: toCellError(err, 'plan').toBody()},
        'planner pass failed; retrying with the next pass',
      );
    }
  }

  private runPass(): void {
    const {clock} = this.options;
    const beganAt = clock.now();
    const {pass, times, input} = this.inputs.next();
    const plan = planPass(input);
    this.inputs.notePlan(plan);
    this.journal?.notePass({...pass, ...times.lines}, plan);
    this.applyPlan(plan);
    const endedAt = clock.now();
    this.lastPassMs = endedAt - beganAt;
    this.passLoad.note({
      endedAt,
      tookMs: this.lastPassMs,
      starts: plan.starts.length,
      stops: plan.stops.length,
      waits: plan.waits.length,
    });
  }

  private applyPlan({starts, stops, advice, waits}: Plan): void {
    const {clock} = this.options;
    const now = clock.now();
    this.waitLog.notePass(waits, {now, wall: clock.wall()});
    this.load.notePass(waits, now);
    for (const request of advice) {
      const workflow = this.db.open.get(request.step.workflow);
      const terms = workflow && this.db.queues.get(workflow.queue)?.advice;
      if (terms) this.advice.requestAdvice(request, terms);
    }
    for (const stop of stops) this.stopRun(stop);
    if (starts.length > 0) void this.startOrders.startRuns(starts);
  }

  private stopRun(stop: PlannedStop): void {
    void this.channels.get(stop.worker)?.stop(stop);
  }
}
