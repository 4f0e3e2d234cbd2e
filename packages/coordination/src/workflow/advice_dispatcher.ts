/**
 * Keeps what the placement advisers have said, and spreads the calls to them
 * over VMs, as an adviser serves one call at a time for each calling VM.
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
  type CallerLoad,
} from './advice_callers.js';
import {AdviceQueueLog} from './advice_queue_log.js';
import type {CallerUse} from './load_report.js';

/** Options of the desk. */
export interface AdviceDispatcherOptions {
  readonly db: WorkflowDb;
  readonly clock: Clock;
  readonly logger: Logger;
  /** VMs that can make calls now. */
  readonly callers: () => readonly VmId[];
  /** Asks from a VM. */
  readonly ask: (
    vm: VmId,
    step: StepRef,
    workers: readonly WorkerId[],
  ) => Promise<AdviceReply>;
  readonly onChange: () => void;
  /** Called as a step's adviser is to be asked, is asked and has answered. */
  readonly onCall?: (
    step: StepRef,
    moment: 'wanted' | 'asked' | 'advised',
  ) => void;
  /** Sums up the calls of each queue. */
  readonly load?: AdviceLoad;
  /** Called with what has changed of a step's advice. */
  readonly onAdvice?: (step: StepKey, change: AdviceChange) => void;
}

interface QueuedCall extends AdviceRequest {
  /** Monotonic time at which it was wanted, in ms. */
  readonly wantedAt: number;
  /** Monotonic time by which it should be made, in ms. */
  readonly deadline: number;
  readonly costMs: number;
  readonly validMs: number;
  readonly kind: AdviceCallKind;
}

/** Pause before a step is asked about again after a failure, in ms. */
const RETRY_PAUSE_MS = 150;

/** Asks for advice while this VM leads. */
export class AdviceDispatcher {
  private readonly steps = new Map<StepKey, AdviceRecord>();
  /** Steps that are asked about, by workflow. */
  private readonly keysByWorkflow = new Map<WorkflowId, Set<StepKey>>();
  private readonly loads = new Map<VmId, CallerLoad>();
  private readonly queueLog: AdviceQueueLog;
  private waiting: QueuedCall[] = [];
  private callerCount = 0;
  private isClosed = false;

  constructor(private readonly options: AdviceDispatcherOptions) {
    this.queueLog = new AdviceQueueLog(options.logger);
  }

  /** What is known of a step. */
  adviceOf(key: StepKey): StepAdvice | undefined {
    return this.steps.get(key);
  }

  /** The latest ticket of a step for a worker's present life, unless it has lapsed. */
  ticketOf(step: StepRef, worker: WorkerId): string | undefined {
    const ticket = this.steps.get(stepKey(step))?.tickets.get(worker);
    const isValid =
      ticket !== undefined &&
      ticket.bornAt === this.incarnationOf(worker) &&
      this.options.clock.now() < ticket.validUntil;
    return isValid ? ticket.text : undefined;
  }

  /** Asks about workers, now or once a VM is free for the call. */
  requestAdvice({step, workers}: AdviceRequest, terms: AdviceTiming): void {
    const key = stepKey(step);
    const record = this.steps.get(key) ?? new AdviceRecord();
    this.steps.set(key, record);
    const keys = this.keysByWorkflow.get(step.workflow) ?? new Set();
    this.keysByWorkflow.set(step.workflow, keys.add(key));
    if (record.isAsking || workers.length === 0) return;
    this.options.onCall?.(step, 'wanted');
    this.change(key, record, {isAsking: true});
    const costMs = terms.baseMs + terms.perWorkerMs * workers.length;
    const wantedAt = this.options.clock.now();
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

  /** Sends calls that wait for a VM; new VMs may have come. */
  dispatch(): void {
    const {clock} = this.options;
    const left: QueuedCall[] = [];
    const callers = this.options.callers().map(vm => this.loadOf(vm));
    this.callerCount = callers.length;
    // A short call passes the long ones of its moment, but none that has waited for long.
    this.waiting.sort((a, b) => a.deadline - b.deadline);
    for (const call of this.waiting) {
      const caller = chooseCaller(callers, call.costMs, clock.now());
      if (caller) void this.send(caller, call);
      else left.push(call);
    }
    this.waiting = left;
    this.queueLog.note({
      now: clock.now(),
      waiting: left,
      underWay: callers.reduce((sum, {callCount}) => sum + callCount, 0),
      callers: callers.length,
    });
  }

  /**
   * Drops what was said of a worker's earlier life: the next one may be of
   * another kind, and the adviser may have left out one that was down.
   */
  forget(worker: WorkerId): void {
    for (const [key, record] of this.steps)
      this.change(key, record, {forgotten: worker});
  }

  /** Drops what is known and wanted of the steps of a workflow, if it is over. */
  prune(workflow: WorkflowId): void {
    const keys = this.keysByWorkflow.get(workflow);
    if (!keys || this.options.db.open.has(workflow)) return;
    for (const key of keys) this.steps.delete(key);
    this.keysByWorkflow.delete(workflow);
    this.waiting = this.waiting.filter(({step}) => step.workflow !== workflow);
  }

  /** Ends; answers that still come are dropped. */
  close(): void {
    this.isClosed = true;
    this.waiting = [];
  }

  /** What is known of all steps that are asked about. */
  get all(): ReadonlyMap<StepKey, StepAdvice> {
    return this.steps;
  }

  /** How many VMs could make calls at the last look, and how many make one. */
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

  /** Start of a worker's present life, in ms since 1970. */
  private incarnationOf(worker: WorkerId): number | undefined {
    return this.options.db.workers.get(worker)?.report.bornAt;
  }

  /** Changes what is known of a step, and tells of it where it still matters. */
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
    beginCall(caller, call.costMs);
    this.options.onCall?.(call.step, 'asked');
    const {clock, logger, onChange} = this.options;
    const sentAt = clock.now();
    const queue = this.options.db.workflows.get(call.step.workflow)?.queue;
    if (queue !== undefined)
      this.options.load?.begin(queue, call.kind, sentAt - call.wantedAt);
    const lives = new Map(
      call.workers.map(worker => [worker, this.incarnationOf(worker)]),
    );
    const reply = await this.options
      .ask(caller.vm, call.step, call.workers)
      .catch((err: unknown) => {
        logger.info(
          {
            change: 'advice_failed',
            step: stepKey(call.step),
            vm: caller.vm,
            err: String(err),
          },
          'a call for advice failed',
        );
        return undefined;
      });
    endCall(caller, call.costMs);
    if (queue !== undefined)
      this.options.load?.end(queue, call.kind, {
        busyMs: clock.now() - sentAt,
        isAnswered: reply !== undefined,
      });
    if (this.isClosed) return;
    if (reply?.kind === 'allowed') this.take(call, reply.workers, lives);
    else {
      if (!reply) avoidCaller(caller, clock.now());
      this.retryLater(call);
    }
    logger.debug(
      {
        decision: 'advice',
        step: stepKey(call.step),
        vm: caller.vm,
        asked: call.workers.length,
        tookMs: clock.now() - sentAt,
      },
      'the adviser has answered',
    );
    this.dispatch();
    onChange();
  }

  private take(
    {step, workers, validMs}: QueuedCall,
    allowed: ReadonlyArray<{
      readonly worker: WorkerId;
      readonly ticket: string;
    }>,
    lives: ReadonlyMap<WorkerId, number | undefined>,
  ): void {
    const record = this.steps.get(stepKey(step));
    if (!record) return;
    this.options.onCall?.(step, 'advised');
    // What was said of a life that has ended meanwhile tells nothing of the next.
    const isSame = (worker: WorkerId): boolean =>
      lives.get(worker) === this.incarnationOf(worker);
    const validUntil = this.options.clock.now() + validMs;
    this.change(stepKey(step), record, {
      isAsking: false,
      asked: workers.filter(isSame),
      tickets: allowed.flatMap(({worker, ticket}) => {
        const bornAt = this.incarnationOf(worker);
        if (bornAt === undefined || !isSame(worker)) return [];
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
