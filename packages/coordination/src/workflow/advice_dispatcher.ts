/**
 * Caches the replies of the placement advisers and distributes calls to them
 * over VMs, as an adviser serves only one call at a time for each calling VM.
 */
import type Logger from 'bunyan';
import type {AdviceReply} from '@primrosewick/protocol';
import {
  AdviceRecord,
  stepKey,
  type AdviceChange,
  type AdviceTiming,
  type AdviceRequest,
  type StepAdvice,
  type StepKey,
  type StepRef,
  type VmId,
  type WorkerId,
  type WorkflowDb,
  type WorkflowId,
} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import {
  adviceCallKind,
  type AdviceCallKind,
  type AdviceLoad,
} from './advice_load.js';
import {
  avoidCaller,
  beginCall,
  chooseCaller,
  endCall,
  isShortCall,
  noteAnswered,
  noteUnanswered,
  type CallerLoad,
} from './advice_callers.js';
import {UnansweredSteps, patienceMs} from './advice_patience.js';
import {
  isAnswer,
  logFailedCall,
  type CallOutcome,
  type SentCall,
} from './advice_outcome.js';
import {AdviceQueueLog} from './advice_queue_log.js';
import type {CallerUse} from './load_report.js';

/** Options of an `AdviceDispatcher`. */
export interface AdviceDispatcherOptions {
  readonly db: WorkflowDb;
  readonly clock: Clock;
  readonly logger: Logger;
  /** VMs that can currently make calls. */
  readonly callers: () => readonly VmId[];
  /**
   * Makes a VM call the adviser, and waits for the answer until a deadline of the
   * monotonic clock, in ms; rejects if the VM cannot be reached or cannot ask.
   */
  readonly ask: (
    vm: VmId,
    step: StepRef,
    workers: readonly WorkerId[],
    deadline: number,
  ) => Promise<AdviceReply>;
  readonly onChange: () => void;
  /** Called when a call for a step is enqueued, is sent and is answered. */
  readonly onCall?: (
    step: StepRef,
    moment: 'wanted' | 'asked' | 'advised',
  ) => void;
  /** Statistics of the calls for each queue. */
  readonly load?: AdviceLoad;
  /** Called with each change of a step's advice. */
  readonly onAdvice?: (step: StepKey, change: AdviceChange) => void;
}

interface QueuedCall extends AdviceRequest {
  /** Monotonic time at which the call was enqueued, in ms. */
  readonly wantedAt: number;
  /** Monotonic time by which the call should be sent, in ms; sets the order of the queue. */
  readonly deadline: number;
  readonly costMs: number;
  readonly validMs: number;
  readonly kind: AdviceCallKind;
}

/** Pause before a step may be enqueued again after a failed call, in ms. */
const RETRY_PAUSE_MS = 150;
/** Time without short calls after which late long ones may use their VMs, in ms. */
const NO_SHORT_CALLS_MS = 1000;

/** Queues and dispatches calls for advice while this VM leads. */
export class AdviceDispatcher {
  private readonly steps = new Map<StepKey, AdviceRecord>();
  /** Keys of the steps with advice or calls, by workflow. */
  private readonly keysByWorkflow = new Map<WorkflowId, Set<StepKey>>();
  private readonly loads = new Map<VmId, CallerLoad>();
  private readonly queueLog: AdviceQueueLog;
  private readonly unanswered = new UnansweredSteps();
  private waiting: QueuedCall[] = [];
  /** Monotonic time at which the last short call was enqueued, in ms. */
  private shortWantedAt = Number.NEGATIVE_INFINITY;
  private callerCount = 0;
  private isClosed = false;

  constructor(private readonly options: AdviceDispatcherOptions) {
    this.queueLog = new AdviceQueueLog(options.logger);
  }

  /** The advice on a step so far. */
  adviceOf(key: StepKey): StepAdvice | undefined {
    return this.steps.get(key);
  }

  /** The latest ticket of a step for a worker's current incarnation, unless it has lapsed. */
  ticketOf(step: StepRef, worker: WorkerId): string | undefined {
    const ticket = this.steps.get(stepKey(step))?.tickets.get(worker);
    const isValid =
      ticket !== undefined &&
      ticket.bornAt === this.incarnationOf(worker) &&
      this.options.clock.now() < ticket.validUntil;
    return isValid ? ticket.text : undefined;
  }

  /**
   * Whether a call about a workflow that is not recorded yet may be made: a short
   * one, while no other short call waits for a VM.
   */
  mayAskEarly({workers}: AdviceRequest, terms: AdviceTiming): boolean {
    return (
      isShortCall(callCostMs(terms, workers.length)) &&
      !this.waiting.some(({costMs}) => isShortCall(costMs))
    );
  }

  /** Enqueues a call about some workers, unless one for the step is queued or in flight. */
  requestAdvice({step, workers}: AdviceRequest, terms: AdviceTiming): void {
    const key = stepKey(step);
    const record = this.steps.get(key) ?? new AdviceRecord();
    this.steps.set(key, record);
    const keys = this.keysByWorkflow.get(step.workflow) ?? new Set();
    this.keysByWorkflow.set(step.workflow, keys.add(key));
    if (record.isAsking || workers.length === 0) return;
    this.options.onCall?.(step, 'wanted');
    this.change(key, record, {isAsking: true});
    const costMs = callCostMs(terms, workers.length);
    const wantedAt = this.options.clock.now();
    if (isShortCall(costMs)) this.shortWantedAt = wantedAt;
    this.waiting.push({
      step,
      workers,
      wantedAt,
      deadline: wantedAt + costMs,
      costMs,
      validMs: terms.validMs,
      kind: adviceCallKind(record, workers),
    });
    this.dispatch();
  }

  /** Sends queued calls to the VMs that are available now. */
  dispatch(): void {
    const {clock} = this.options;
    const unsent: QueuedCall[] = [];
    const callers = this.options.callers().map(vm => this.loadOf(vm));
    this.callerCount = callers.length;
    // Short calls overtake long ones enqueued about the same time, but not older ones.
    this.waiting.sort((a, b) => a.deadline - b.deadline);
    for (const call of this.waiting) {
      const caller = this.chooseCallerOf(call, callers);
      if (caller) void this.send(caller, call);
      else unsent.push(call);
    }
    this.waiting = unsent;
    this.queueLog.note({
      now: clock.now(),
      waiting: unsent,
      underWay: callers.reduce((sum, {callCount}) => sum + callCount, 0),
      callers: callers.length,
    });
  }

  /**
   * Drops the advice on a worker's earlier incarnation: the next one may differ
   * in kind, and the adviser may have excluded the worker because it was down.
   */
  forget(worker: WorkerId): void {
    for (const [key, record] of this.steps)
      this.change(key, record, {forgotten: worker});
  }

  /** Drops the advice and the queued calls of a workflow that has ended. */
  prune(workflow: WorkflowId): void {
    const keys = this.keysByWorkflow.get(workflow);
    if (!keys || this.options.db.open.has(workflow)) return;
    for (const key of keys) {
      this.steps.delete(key);
      this.unanswered.forget(key);
    }
    this.keysByWorkflow.delete(workflow);
    this.waiting = this.waiting.filter(({step}) => step.workflow !== workflow);
  }

  /** Drops the advice and the queued calls of a workflow that was not recorded. */
  drop(workflow: WorkflowId): void {
    if (this.options.db.open.has(workflow)) return;
    for (const key of this.keysByWorkflow.get(workflow) ?? [])
      this.options.onAdvice?.(key, {isDropped: true});
    this.prune(workflow);
  }

  /** Drops queued calls and ignores answers that are still to come. */
  close(): void {
    this.isClosed = true;
    this.waiting = [];
  }

  /** The advice on all steps. */
  get all(): ReadonlyMap<StepKey, StepAdvice> {
    return this.steps;
  }

  /** VMs available at the last dispatch, VMs with calls in flight, and queued calls. */
  get callerUse(): CallerUse {
    const busy = [...this.loads.values()].filter(
      ({callCount}) => callCount > 0,
    );
    return {
      callers: this.callerCount,
      busyCallers: busy.length,
      queuedCalls: this.waiting.length,
    };
  }

  /**
   * A late call may use a VM that is reserved for short ones while there are none.
   * One made again goes to the VM of the last try, unless that is avoided: it has
   * closed its silent connections.
   */
  private chooseCallerOf(
    {step, costMs, deadline}: QueuedCall,
    callers: readonly CallerLoad[],
  ): CallerLoad | undefined {
    const now = this.options.clock.now();
    const mayUseReserved =
      now >= deadline && now >= this.shortWantedAt + NO_SHORT_CALLS_MS;
    const call = {costMs, mayUseReserved};
    const lastVm = this.unanswered.get(stepKey(step))?.vm;
    const last = callers.filter(
      ({vm, avoidedUntil}) => vm === lastVm && now >= avoidedUntil,
    );
    return chooseCaller(last, call, now) ?? chooseCaller(callers, call, now);
  }

  /** Start of a worker's current incarnation, in ms since 1970. */
  private incarnationOf(worker: WorkerId): number | undefined {
    return this.options.db.workers.get(worker)?.report.bornAt;
  }

  /** Applies a change to a step's advice, and reports it unless the step was dropped. */
  private change(
    key: StepKey,
    record: AdviceRecord,
    change: AdviceChange,
  ): void {
    const hasChanged = record.apply(change);
    if (hasChanged && this.steps.get(key) === record)
      this.options.onAdvice?.(key, change);
  }

  private loadOf(vm: VmId): CallerLoad {
    const load = this.loads.get(vm) ?? {
      vm,
      callCount: 0,
      backlogMs: 0,
      avoidedUntil: 0,
    };
    this.loads.set(vm, load);
    return load;
  }

  private async send(caller: CallerLoad, call: QueuedCall): Promise<void> {
    const {clock, logger, onChange, load, onCall} = this.options;
    const sent = this.describe(caller, call);
    const {sentAt} = sent;
    beginCall(caller, call.costMs);
    onCall?.(call.step, 'asked');
    const queue = this.options.db.workflows.get(call.step.workflow)?.queue;
    if (queue !== undefined)
      load?.begin(queue, call.kind, sentAt - call.wantedAt);
    const incarnations = new Map(
      call.workers.map(worker => [worker, this.incarnationOf(worker)]),
    );
    const outcome = await this.ask(caller.vm, call, sent);
    endCall(caller, call.costMs);
    if (queue !== undefined)
      load?.end(queue, call.kind, {
        busyMs: clock.now() - sentAt,
        isAnswered: isAnswer(outcome),
      });
    this.noteOutcome(caller, sent, outcome);
    if (this.isClosed) return;
    if (outcome.kind === 'allowed')
      this.take(call, outcome.workers, incarnations);
    else this.retryLater(call);
    logger.debug(
      {
        decision: 'advice',
        step: sent.key,
        vm: caller.vm,
        asked: call.workers.length,
        tookMs: clock.now() - sentAt,
      },
      'call to the placement adviser ended',
    );
    this.dispatch();
    onChange();
  }

  /** When a call is sent to a VM, and by when it should be answered. */
  private describe(caller: CallerLoad, {step, costMs}: QueuedCall): SentCall {
    const key = stepKey(step);
    const sentAt = this.options.clock.now();
    const expectedMs = caller.backlogMs + costMs;
    const unansweredCount = this.unanswered.get(key)?.count ?? 0;
    const answerMs = patienceMs(expectedMs, unansweredCount);
    return {key, sentAt, expectedMs, answerMs, tries: unansweredCount + 1};
  }

  private ask(
    vm: VmId,
    {step, workers}: QueuedCall,
    {sentAt, answerMs}: SentCall,
  ): Promise<CallOutcome> {
    return this.options
      .ask(vm, step, workers, sentAt + answerMs)
      .catch((err: unknown) => ({kind: 'failed', err}));
  }

  /** Notes what a call tells about its VM and about the adviser, and logs it. */
  private noteOutcome(
    caller: CallerLoad,
    sent: SentCall,
    outcome: CallOutcome,
  ): void {
    const {clock, logger} = this.options;
    const {key, sentAt, answerMs} = sent;
    const now = clock.now();
    switch (outcome.kind) {
      case 'allowed':
      case 'busy':
        noteAnswered(caller);
        this.unanswered.forget(key);
        return;
      case 'unanswered':
        noteUnanswered(caller, sentAt, now);
        this.unanswered.note(key, caller.vm, now >= sentAt + answerMs);
        break;
      case 'failed':
        avoidCaller(caller, now);
        break;
      default:
        // A later version may reply otherwise; the call is made again.
        outcome satisfies never;
        return;
    }
    logFailedCall(logger, sent, {vm: caller.vm, tookMs: now - sentAt, outcome});
  }

  private take(
    {step, workers, validMs}: QueuedCall,
    allowed: ReadonlyArray<{
      readonly worker: WorkerId;
      readonly ticket: string;
    }>,
    incarnations: ReadonlyMap<WorkerId, number | undefined>,
  ): void {
    const record = this.steps.get(stepKey(step));
    if (!record) return;
    this.options.onCall?.(step, 'advised');
    // Advice on an incarnation that ended during the call does not apply to the next one.
    const isSameIncarnation = (worker: WorkerId): boolean =>
      incarnations.get(worker) === this.incarnationOf(worker);
    const validUntil = this.options.clock.now() + validMs;
    this.change(stepKey(step), record, {
      isAsking: false,
      asked: workers.filter(isSameIncarnation),
      tickets: allowed.flatMap(({worker, ticket}) => {
        const bornAt = this.incarnationOf(worker);
        if (bornAt === undefined || !isSameIncarnation(worker)) return [];
        return [[worker, {bornAt, text: ticket, validUntil}] as const];
      }),
    });
  }

  private retryLater({step}: QueuedCall): void {
    const record = this.steps.get(stepKey(step));
    this.options.clock.after(RETRY_PAUSE_MS).subscribe(() => {
      if (record) this.change(stepKey(step), record, {isAsking: false});
      this.options.onChange();
    });
  }
}

/** Expected duration of a call about some workers, in ms. */
const callCostMs = (
  {baseMs, perWorkerMs}: AdviceTiming,
  workerCount: number,
): number => baseMs + perWorkerMs * workerCount;
