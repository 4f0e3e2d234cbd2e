/**
 * The leader's communication with one incarnation of a worker: starts, stops and
 * lease renewals (holds), and what follows from their answers. An order without
 * an answer may still be executed much later, so the fence is raised and the
 * worker's lists of runs are queried before anything is concluded.
 */
import type {TaskKey, TaskRef} from '@primrosewick/state';
import {pause} from '@primrosewick/transport';
import type {
  HoldAnswer,
  OrderAnswer,
  OrderFailure,
  StartRequest,
  WorkerTarget,
} from './ports.js';
import {isIdle} from './channel_idle.js';
import {ChannelLog} from './channel_log.js';
import type {LifeState} from './end_proof/types.js';
import {LapseCheck} from './lapse_check.js';
import {LifeEnd} from './life_end.js';
import {LifeInquiry} from './life_inquiry.js';
import {LifeLog} from './life_log.js';
import {findStartObstacle} from './planned_starts.js';
import {ProgressTracker} from './progress_tracker.js';
import {includesRun} from './run_lists.js';
import {RunRecords, type RunLists} from './run_records.js';
import {ResponseMonitor} from './response_monitor.js';
import {Silence} from './silence.js';
import {StartLedger, type ExpectedStart} from './start_ledger.js';
import {StopLedger, type StopRequest} from './stop_ledger.js';
import {UnsureLog, type UnsureWait} from './unsure_log.js';
import {WatchedOrders} from './watched_orders.js';
import type {WorkerChannelOptions} from './worker_channel_options.js';
import {WorkerClock} from './worker_clock.js';

/** Number of fences available to one leadership for one worker. */
export const FENCES_PER_TERM = 2 ** 20;
/** How long a worker delays its answer to a hold while no run ends, in ms (long polling). */
const HOLD_WAIT_MS = 1000;
/** Bounds of the exponential delay after a failed hold, in ms. */
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 800;
/** Pause before a leader without recent quorum contact checks again, in ms. */
const UNCONFIRMED_PAUSE_MS = 50;
/** Pause before the lists are queried again while starts are unsettled, in ms. */
const SETTLE_PAUSE_MS = 20;

/** Communicates with one incarnation of a worker while this VM leads. */
export class WorkerChannel {
  /** Progress of the runs that the worker listed last. */
  readonly progress = new ProgressTracker();
  /** When the worker was last heard. */
  readonly silence = new Silence();
  private readonly orders: WatchedOrders;
  /** How its incarnation ends. */
  readonly end: LifeEnd;
  private readonly starts = new StartLedger();
  private readonly stops = new StopLedger();
  private readonly responses = new ResponseMonitor();
  private readonly workerClock: WorkerClock;
  private readonly lapse: LapseCheck;
  private readonly inquiry: LifeInquiry;
  private readonly log: ChannelLog;
  private readonly unsureLog: UnsureLog;
  private readonly lifeLog: LifeLog;
  private readonly runs: RunRecords;

  private fenceCounter: number;
  private isSynced = false;
  /** Runs of the last list that are not recorded; its ends are. */
  private orphans: readonly StopRequest[] = [];
  private isClosed = false;
  private lastAcked = 0;
  private retryMs = MIN_RETRY_MS;
  private wake: () => void = () => undefined;

  constructor(private readonly options: WorkerChannelOptions) {
    this.workerClock = new WorkerClock(options);
    this.fenceCounter = options.firstFence ?? 0;
    this.log = new ChannelLog(options.logger, options.life.worker);
    this.unsureLog = new UnsureLog(options.logger, options.life.worker);
    this.lifeLog = new LifeLog({...options, db: () => options.db});
    const {starts, stops, progress, silence} = this;
    const {workerClock, log, lifeLog} = this;
    const ledgers = {...options, starts, stops, progress, silence};
    const parts = {...ledgers, workerClock, log, lifeLog};
    this.orders = new WatchedOrders(ledgers);
    this.runs = new RunRecords(parts);
    this.lapse = new LapseCheck({...parts, runs: this.runs});
    this.end = new LifeEnd({
      ...options,
      lifeLog,
      activeRuns: () => this.runs.active,
      onReplaced: runs => this.runs.noteReplaced(runs),
      heardAgoMs: () => this.silence.heardAgoMs(options.clock.wall()),
    });
    this.inquiry = new LifeInquiry({
      ...parts,
      end: this.end,
      terms: () => ({fence: this.fence, endsRecorded: this.lastAcked}),
      isClosed: () => this.isClosed,
    });
  }

  /** Whether the worker's lists were received under the current fence. */
  get isUsable(): boolean {
    return this.isSynced && !this.end.isReplaced && !this.isClosed;
  }

  /** Whether the worker is usable and answers its orders in time. */
  get isResponsive(): boolean {
    return this.isUsable && !this.responses.isSuspect(this.options.clock.now());
  }

  /** Starts that are proposed or sent to this worker, and not yet settled. */
  get expectedStarts(): readonly ExpectedStart[] {
    return this.starts.expected;
  }

  /** Starts that the next incarnation of the worker may execute, or has. */
  get undeliveredStarts(): readonly ExpectedStart[] {
    return this.starts.undelivered;
  }

  /** Tasks whose run was ordered to stop and is not known to have ended. */
  get stopping(): TaskKey[] {
    const {db, life} = this.options;
    return this.stops.stoppingOf(db.findIncarnation(life)?.active);
  }

  /** Number of the fence that outdates all orders of this channel. */
  get nextFence(): number {
    return this.fenceCounter + 1;
  }

  /** Start of the worker's incarnation, in ms since 1970. */
  get bornAt(): number {
    return this.options.life.bornAt;
  }

  /** Asks the worker once whether it runs as this incarnation. */
  askLife(): Promise<LifeState> {
    return this.inquiry.askLife(this.target);
  }

  /** Asks once whether an incarnation runs where it is said to; it is told nothing new. */
  ask(target: WorkerTarget): Promise<HoldAnswer | undefined> {
    return this.inquiry.ask(target);
  }

  /** Starts the loop of holds. */
  open(): void {
    this.unsureLog.expect(this.options.clock.now());
    this.continueLeaving();
    void this.loop().catch((err: unknown) =>
      this.options.logger.error(
        {change: 'channel_failed', worker: this.options.life, err},
        'worker channel failed',
      ),
    );
  }

  /** Stops the loop; orders in flight are left to the next leader. */
  close(): void {
    this.isClosed = true;
    this.lapse.close();
    this.wake();
  }

  /** Makes an idle channel check at once whether there is work. */
  checkNow(): void {
    this.wake();
  }

  /** Notes a start that is about to be proposed to the log. */
  expect(task: TaskRef, run: number): void {
    this.starts.expect(task, run);
  }

  /** Forgets a start that was not recorded. */
  forget(task: TaskRef): void {
    this.starts.forget(task);
    this.continueLeaving();
    this.wake();
  }

  /**
   * Stops all that runs on a worker that has said that it leaves, and removes
   * the worker once nothing does. Called whenever its records have changed.
   */
  continueLeaving(): void {
    const state = this.options.db.findIncarnation(this.options.life);
    const {isReplaced, isLeaving} = this.end;
    if (!state || !isLeaving || isReplaced || this.isClosed) return;
    this.wake();
    for (const {task, run} of state.active.values())
      void this.stop({task, run, why: 'worker_leaves'});
    if (state.active.size === 0 && this.expectedStarts.length === 0)
      void this.end.depart();
  }

  /** Sends a recorded start to the worker. */
  async start(order: StartRequest): Promise<void> {
    if (!this.workerClock.isKnown(this.options.clock.now()))
      await this.askLife();
    if (this.isClosed) return;
    const obstacle = findStartObstacle(this.options) ?? this.doubt;
    if (obstacle !== undefined) return this.abandonStart(order, obstacle);
    const {address} = this.target;
    const answer = await this.sendStart(order);
    if (this.isClosed) return;
    if (answer.kind === 'accepted') {
      const at = this.options.clock.now();
      this.workerClock.note(at, answer.clockMs);
      this.starts.confirm(order.task, order.run, at);
      this.options.onStarted(order.task);
    } else {
      await this.onStartFailed(order, answer, address);
      this.starts.settleFailed(order, answer);
    }
    this.options.onChange();
    this.wake();
  }

  /** Voids a recorded start that must no longer be sent. */
  async abandonStart({task, run}: StartRequest, detail: string): Promise<void> {
    const failure = {kind: 'not_sent', detail} as const;
    this.options.onStartFailed(task, failure, this.options.life);
    await this.runs.giveUp([{task, run}], {kind: 'start_not_sent'});
    this.starts.forget(task);
    this.options.onChange();
  }

  /** Orders a run to stop, unless that was done recently. */
  async stop({task, run, why, inFavourOf}: StopRequest): Promise<void> {
    const {clock, onStop} = this.options;
    if (!this.isUsable || !this.options.mayOrder()) return;
    if (!this.stops.note(task, run, clock.now())) return;
    onStop?.({task, run, why, inFavourOf});
    const {target, fence} = this;
    const answer = await this.orders.stop(target, {task, run, fence});
    if (answer.kind === 'accepted') {
      this.workerClock.note(clock.now(), answer.clockMs);
      this.runs.noteStopped({task, run}, clock.now());
    } else {
      // A stop that was lost may be sent again at once.
      if (answer.kind === 'no_answer') this.stops.forget(task);
      this.onFailure(answer, target.address);
    }
    this.wake();
  }

  private get fence(): number {
    return this.options.term * FENCES_PER_TERM + this.fenceCounter;
  }

  /** Whether a run that is not recorded was in the worker's last list. */
  listsOrphan(start: ExpectedStart): boolean {
    return includesRun(this.orphans, start);
  }

  private get unsureWait(): UnsureWait {
    const {clock, db, life} = this.options;
    const runCount = db.findIncarnation(life)?.active.size ?? 0;
    return {now: clock.now(), lapseAt: this.workerClock.lapseAt, runCount};
  }

  private get target(): WorkerTarget {
    const {life, db} = this.options;
    const {fence} = this;
    const address = db.findIncarnation(life)?.report.address ?? '';
    return {...life, address, isOutdated: () => this.fence !== fence};
  }

  /** Why no start may be sent now that was planned before. */
  private get doubt(): string | undefined {
    const isKnown = this.workerClock.isKnown(this.options.clock.now());
    return this.isUsable && isKnown ? undefined : 'the runs are not known';
  }

  private async sendStart(order: StartRequest): Promise<OrderAnswer> {
    const {clock, leaseMs} = this.options;
    const leaseEnd = this.workerClock.leaseFor(clock.now(), leaseMs) ?? 0;
    const settle = this.responses.begin(clock.now());
    const {target, fence} = this;
    const answer = await this.orders.start(target, {...order, leaseEnd, fence});
    settle();
    return answer;
  }

  private async onStartFailed(
    {task, run}: {readonly task: TaskRef; readonly run: number},
    failure: OrderFailure,
    address: string,
  ): Promise<void> {
    this.options.onStartFailed(task, failure, this.options.life);
    if (failure.kind === 'refused') {
      this.workerClock.note(this.options.clock.now(), failure.clockMs);
      await this.runs.giveUp([{task, run}], {kind: 'start_refused'});
    } else if (failure.kind === 'not_sent')
      await this.runs.giveUp([{task, run}], {kind: 'start_not_sent'});
    this.onFailure(failure, address);
  }

  /** Handles the failure of an order that was sent to an address. */
  private onFailure(failure: OrderFailure, address: string): void {
    switch (failure.kind) {
      case 'not_sent':
      case 'no_answer':
        return this.raiseFence(failure.detail);
      case 'other_life':
        this.raiseFence(`another incarnation answers at ${address}`);
        void this.end.onOtherAnswer(failure, address);
        return;
      case 'refused':
        if (failure.why === 'stale_fence') this.raiseFence('stale fence');
    }
  }

  /** Invalidates delayed orders, and requires new lists before anything else is sent. */
  private raiseFence(why: string): void {
    if (this.isSynced) this.unsureLog.begin(why, this.unsureWait);
    this.fenceCounter++;
    this.isSynced = false;
    this.options.onChange();
    this.wake();
  }

  private async loop(): Promise<void> {
    while (!this.isClosed) {
      if (this.end.isReplaced) {
        await pause(this.options.clock, UNCONFIRMED_PAUSE_MS);
        continue;
      }
      if (this.isIdle()) {
        await this.waitForWork();
        continue;
      }
      if (!this.options.mayOrder()) {
        await pause(this.options.clock, UNCONFIRMED_PAUSE_MS);
        continue;
      }
      const sentAt = this.options.clock.now();
      const {fence, target} = this;
      const answer = await this.sendHold(target, fence);
      if (this.isClosed) return;
      if (this.end.isReplaced) continue;
      if (answer.kind === 'lists') await this.onLists(answer, sentAt, fence);
      else await this.onHoldFailed(answer, target.address);
      this.continueLeaving();
    }
  }

  private isIdle(): boolean {
    const {isSynced, lastAcked} = this;
    const {isLeaving} = this.end;
    const orphanCount = this.orphans.length;
    const state = this.options.db.findIncarnation(this.options.life);
    return isIdle(state, {isSynced, isLeaving, orphanCount, lastAcked});
  }

  private waitForWork(): Promise<void> {
    return new Promise(resolve => {
      this.wake = resolve;
    });
  }

  private async sendHold(
    target: WorkerTarget,
    fence: number,
  ): Promise<HoldAnswer> {
    const {clock, leaseMs} = this.options;
    // The next incarnation may get it, and would forget ends of its own.
    const endsRecorded = this.silence.isHeard ? this.runs.endsRecorded : 0;
    // A hold that may never be answered must not extend the lease.
    const leaseEnd =
      this.isSynced && !this.end.isLeaving
        ? this.workerClock.leaseFor(clock.now(), leaseMs)
        : undefined;
    const answer = await this.orders.hold(target, {
      fence,
      endsRecorded,
      waitMs: this.isSynced ? HOLD_WAIT_MS : 0,
      ...(leaseEnd === undefined ? {} : {leaseEnd}),
    });
    if (answer.kind === 'lists')
      this.lastAcked = Math.max(this.lastAcked, endsRecorded);
    return answer;
  }

  private async onLists(
    answer: RunLists,
    sentAt: number,
    fence: number,
  ): Promise<void> {
    const {clock, onChange} = this.options;
    const answeredAt = clock.now();
    this.retryMs = MIN_RETRY_MS;
    this.workerClock.note(answeredAt, answer.clockMs);
    if (this.lapse.noteAnswer()) this.log.back();
    this.progress.note(answer.running, clock.now());
    this.log.unreadable(answer.unreadable, clock.now());
    // A run whose end is not yet recorded must not be counted as missing.
    const recordedBefore = this.runs.endsRecorded;
    if (!(await this.runs.recordEnds(answer)))
      return pause(clock, MIN_RETRY_MS);
    if (fence !== this.fence) return;
    if (answer.mayLackEnds)
      return this.runs.waitForEnds(answer, recordedBefore);
    const stops = await this.runs.reconcile(answer, sentAt);
    if (fence !== this.fence) return;
    this.isSynced = true;
    this.unsureLog.end(this.unsureWait);
    this.orphans = stops.filter(({why}) => why === 'not_recorded');
    for (const stop of stops) void this.stop(stop);
    this.starts.noteFencedList();
    this.workerClock.noteSoleLeader(answeredAt);
    onChange();
    if (this.expectedStarts.length > 0) await pause(clock, SETTLE_PAUSE_MS);
  }

  private async onHoldFailed(
    failure: OrderFailure,
    address: string,
  ): Promise<void> {
    if (failure.kind === 'refused')
      this.workerClock.note(this.options.clock.now(), failure.clockMs);
    this.onFailure(failure, address);
    this.unsureLog.callFailed(failure, this.unsureWait);
    await this.lapse.check();
    if (this.lapse.isLapsed) this.orphans = [];
    await pause(this.options.clock, this.retryMs);
    this.retryMs = Math.min(MAX_RETRY_MS, 2 * this.retryMs);
  }
}
