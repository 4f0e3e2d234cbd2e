/**
 * Request path of one entry: decides which request gets which slot, which one
 * is queued, and which one is refused.
 */
import type {ReasonCode} from '../errors/reasons.js';
import {REASONS} from '../errors/reasons.js';
import type {RequestId, ServiceName, UpstreamId} from '../ids/types.js';
import {assertNever} from '../utils/assert_never.js';
import {mapReviver, reviverOf} from '../utils/image.js';
import {ClassQueue, reviveClassQueue} from './class_queue.js';
import {RetryBudget, reviveRetryBudget} from './retry_budget.js';
import {pickShare} from './pick_share.js';
import {ShareTable, reviveShareTable, type HeldSlots} from './share_table.js';
import {
  DEFAULT_REQUEST_LIMITS,
  type Arrival,
  type AttemptFailure,
  type AttemptId,
  type DecisionNote,
  type RequestEffect,
  type RequestEvent,
  type RequestLimits,
  type RequestStep,
} from './types.js';
import {ShareDemand, reviveShareDemand} from './share_demand.js';
import {ServiceTimes, reviveServiceTimes} from './service_times.js';

/**
 * Fraction of a request's total time that must remain for an attempt that may
 * not be repeated or whose usual duration is unknown.
 */
const RESERVED_TIME_FRACTION = 0.1;

interface OpenRequest {
  readonly arrival: Arrival;
  readonly arrivedAt: number;
  attempts: number;
  /** Attempt whose answer is awaited; null while the request is queued. */
  current: AttemptId | null;
  dispatchedAt: number;
  /** Whether an attempt was sent that may have run. */
  mayHaveRun: boolean;
  readonly tried: Set<UpstreamId>;
}

type RenewEvent = Extract<RequestEvent, {kind: 'renew'}>;

/** Dispatches, queues, retries and refuses the requests of one entry. */
export class RequestCore {
  private readonly limits: RequestLimits;
  private readonly shares = new ShareTable();
  private readonly requests = new Map<RequestId, OpenRequest>();
  private readonly requestOfAttempt = new Map<AttemptId, RequestId>();
  private readonly queues = new Map<ServiceName, ClassQueue>();
  private readonly times = new ServiceTimes();
  private readonly demand: ShareDemand;
  private readonly budget: RetryBudget;
  private now = 0;
  private effects: RequestEffect[] = [];
  private notes: DecisionNote[] = [];

  constructor(limits: Partial<RequestLimits> = {}) {
    this.limits = {...DEFAULT_REQUEST_LIMITS, ...limits};
    const {shares, queues, times} = this;
    this.demand = new ShareDemand({
      shares,
      queues,
      times,
      spareSlots: this.limits.spareSlots,
    });
    this.budget = new RetryBudget({
      ratio: this.limits.retryRatio,
      burst: this.limits.retryBurst,
    });
  }

  /** Handles one event. */
  step(event: RequestEvent): RequestStep {
    this.effects = [];
    this.notes = [];
    this.now = Math.max(this.now, event.now);
    this.handle(event);
    return {effects: this.effects, notes: this.notes};
  }

  /** Number of requests queued for a slot. */
  get queued(): number {
    return [...this.queues.values()].reduce(
      (sum, queue) => sum + queue.size,
      0,
    );
  }

  /** Number of open requests, queued or running. */
  get open(): number {
    return this.requests.size;
  }

  /** Shares held, for status. */
  listShares(): HeldSlots[] {
    return this.shares.list();
  }

  private onRenew({lender, services, foreign}: RenewEvent): void {
    const wantOf = (service: ServiceName): number =>
      this.demand.slotsWanted(service, lender, this.now, foreign);
    const wants = services.map(service => ({service, slots: wantOf(service)}));
    const held = this.shares.report(lender, this.now, wantOf);
    const isNeeded =
      !foreign || held.length > 0 || wants.some(({slots}) => slots > 0);
    if (isNeeded) this.effects.push({kind: 'sync', lender, held, wants});
    this.notes.push(...this.demand.drainNotes());
  }

  private handle(event: RequestEvent): void {
    switch (event.kind) {
      case 'arrive':
        return this.onArrive(event.arrival);
      case 'shares':
        this.shares.update(event.update);
        return this.dispatchAll();
      case 'answered':
        return this.onAnswered(event.attempt);
      case 'failed':
        return this.onFailed(event.attempt, event.failure);
      case 'ended':
        return this.onEnded(event.attempt);
      case 'cancel':
        return this.onCancel(event.id);
      case 'close_service':
        return this.onCloseService(event.service);
      case 'renew':
        return this.onRenew(event);
      case 'tick':
        return this.onTick();
      default:
        return assertNever(event);
    }
  }

  private onArrive(arrival: Arrival): void {
    this.budget.addArrival();
    const code = this.refusalReason(arrival);
    if (code)
      return this.refuse(arrival.id, code, this.retryDelayHint(arrival));
    this.requests.set(arrival.id, {
      arrival,
      arrivedAt: this.now,
      attempts: 0,
      current: null,
      dispatchedAt: 0,
      mayHaveRun: false,
      tried: new Set(),
    });
    this.enqueue(arrival);
    this.dispatch(arrival.service);
    if (this.isQueued(arrival)) this.noteWait(arrival);
  }

  private refusalReason(arrival: Arrival): ReasonCode | undefined {
    if (arrival.deadline <= this.now) return 'deadline_passed';
    if (this.requests.size >= this.limits.maxRequests)
      return 'too_many_requests';
    if (this.findShare(arrival.service, new Set())) return undefined;
    const queue = this.queueOf(arrival.service);
    if (queue.sizeOf(arrival.cls) >= arrival.queueBound) return 'queue_full';
    const canStartAt =
      this.now +
      this.demand.expectedWait(
        arrival.service,
        queue.sizeAhead(arrival.priority),
        this.now,
      );
    return canStartAt + this.times.expected(arrival.service, arrival.cls) >
      arrival.deadline
      ? 'deadline_unreachable'
      : undefined;
  }

  private retryDelayHint(arrival: Arrival): number {
    const queue = this.queueOf(arrival.service);
    return Math.ceil(
      this.demand.expectedWait(arrival.service, queue.size, this.now),
    );
  }

  private enqueue({id, service, cls, priority, deadline}: Arrival): void {
    this.queueOf(service).add({id, cls, priority, deadline});
  }

  private isQueued({id, service}: Arrival): boolean {
    return (
      this.requests.get(id)?.current === null && this.queueOf(service).size > 0
    );
  }

  private noteWait(arrival: Arrival): void {
    const ahead = this.queueOf(arrival.service).sizeAhead(arrival.priority) - 1;
    this.note(
      arrival.id,
      `waits in class ${arrival.cls} behind ${ahead}: no free slot of ${arrival.service} is held`,
    );
    this.effects.push({kind: 'borrow'});
  }

  // Dispatch.

  private dispatchAll(): void {
    for (const service of this.queues.keys()) this.dispatch(service);
  }

  private dispatch(service: ServiceName): void {
    const queue = this.queueOf(service);
    for (let next = queue.peek(); next; next = queue.peek()) {
      const request = this.requests.get(next.id);
      if (!request) {
        queue.remove(next.id);
        continue;
      }
      const share = this.findShare(service, request.tried);
      if (!share) return;
      if (this.lacksTimeForAttempt(request)) {
        this.refuse(next.id, 'deadline_unreachable', 0);
        continue;
      }
      queue.remove(next.id);
      this.send(request, share);
    }
  }

  /**
   * Whether an attempt sent now could still be running at the deadline. The
   * request is then refused instead, because the outcome of the attempt would
   * be unknown. Idempotent requests need less time, because the client may
   * repeat them after a wasted attempt.
   */
  private lacksTimeForAttempt({arrival, arrivedAt}: OpenRequest): boolean {
    const {service, cls, deadline, isIdempotent} = arrival;
    const usualMs =
      this.times.expected(service, cls) || this.times.mean(service);
    const reserveMs = (deadline - arrivedAt) * RESERVED_TIME_FRACTION;
    const neededMs =
      isIdempotent && usualMs > 0 ? usualMs : Math.max(usualMs, reserveMs);
    return deadline - this.now < neededMs;
  }

  private findShare(
    service: ServiceName,
    tried: ReadonlySet<UpstreamId>,
  ): HeldSlots | undefined {
    const free = this.shares.listFree(
      service,
      this.now + this.limits.shareSafetyMs,
    );
    return pickShare(free, tried);
  }

  private send(request: OpenRequest, share: HeldSlots): void {
    const {arrival} = request;
    request.attempts++;
    const attempt = `${arrival.id}/${request.attempts}`;
    request.current = attempt;
    request.dispatchedAt = this.now;
    request.tried.add(share.upstream);
    this.shares.addAttempt(attempt, share.upstream);
    this.requestOfAttempt.set(attempt, arrival.id);
    this.effects.push({
      kind: 'dispatch',
      id: arrival.id,
      attempt,
      upstream: share.upstream,
      address: share.address,
      shareDeadline: share.deadline - this.limits.shareSafetyMs,
      waitMs: this.now - request.arrivedAt,
    });
    const free = share.slots - share.attempts.size;
    this.note(
      arrival.id,
      `attempt ${request.attempts} goes to ${share.upstream} of ${share.lender}, which had most free slots (${free} left of ${share.slots})`,
    );
  }

  // Results of attempts.

  private onAnswered(attempt: AttemptId): void {
    const request = this.currentRequest(attempt);
    this.release(attempt);
    if (!request) this.effects.push({kind: 'drop_answer', attempt});
    else this.deliver(request, attempt);
    this.dispatchAll();
  }

  private deliver(request: OpenRequest, attempt: AttemptId): void {
    const {service, cls, id} = request.arrival;
    this.times.add(service, cls, this.now - request.dispatchedAt);
    this.requests.delete(id);
    this.effects.push({kind: 'deliver', id, attempt});
    this.note(id, `answered by attempt ${request.attempts}`);
  }

  private onFailed(attempt: AttemptId, failure: AttemptFailure): void {
    const request = this.currentRequest(attempt);
    const hasEnded = failure === 'unreachable' || failure === 'refused';
    if (!hasEnded) this.requestEnd(attempt);
    else this.release(attempt);
    if (request) {
      request.mayHaveRun ||= !hasEnded;
      this.retryOrRefuse(request, failure);
    }
    this.dispatchAll();
  }

  private requestEnd(attempt: AttemptId): void {
    const address = this.shares.getByAttempt(attempt)?.address;
    if (address) this.effects.push({kind: 'end_attempt', attempt, address});
  }

  private onEnded(attempt: AttemptId): void {
    this.release(attempt);
    this.dispatchAll();
  }

  private release(attempt: AttemptId): void {
    this.shares.removeAttempt(attempt);
    this.requestOfAttempt.delete(attempt);
  }

  private currentRequest(attempt: AttemptId): OpenRequest | undefined {
    const id = this.requestOfAttempt.get(attempt);
    const request = id === undefined ? undefined : this.requests.get(id);
    return request?.current === attempt ? request : undefined;
  }

  private retryOrRefuse(request: OpenRequest, failure: AttemptFailure): void {
    const {id} = request.arrival;
    switch (failure) {
      case 'unreachable':
        return this.retry(request, 'unreachable', 'upstream_unreachable');
      case 'refused':
        return this.retry(request, 'refused_by_upstream', 'no_capacity');
      case 'lost':
        if (!request.arrival.isIdempotent)
          return this.refuse(id, 'upstream_lost', 0);
        return this.retry(request, 'lost_idempotent', 'upstream_lost');
      case 'too_large':
        return this.refuse(id, 'answer_too_large', 0);
      default:
        return assertNever(failure);
    }
  }

  private retry(
    request: OpenRequest,
    why: 'unreachable' | 'refused_by_upstream' | 'lost_idempotent',
    code: ReasonCode,
  ): void {
    const {arrival} = request;
    const isLate = arrival.deadline <= this.now;
    const isAllowed =
      request.attempts < this.limits.maxAttempts &&
      !isLate &&
      this.budget.trySpend();
    if (!isAllowed) return this.refuse(arrival.id, code, 0);
    request.current = null;
    this.enqueue(arrival);
    this.effects.push({kind: 'retry', id: arrival.id, why});
    this.note(
      arrival.id,
      `attempt ${request.attempts} failed (${why}); another may be made`,
    );
  }

  // Requests that end without an answer.

  private onCancel(id: RequestId): void {
    const request = this.requests.get(id);
    if (!request) return;
    this.refuse(id, 'client_gone', 0);
  }

  private onCloseService(service: ServiceName): void {
    for (const {id} of this.queueOf(service).list())
      this.refuse(id, 'service_not_running', 0);
  }

  private onTick(): void {
    for (const {arrival, current} of [...this.requests.values()]) {
      if (arrival.deadline > this.now) continue;
      const code =
        current === null ? 'deadline_unreachable' : 'upstream_timeout';
      this.refuse(arrival.id, code, 0);
    }
    this.dispatchAll();
  }

  /**
   * Refuses a request; an attempt in progress is requested to end and keeps its
   * slot until it has.
   */
  private refuse(id: RequestId, code: ReasonCode, hintMs: number): void {
    const request = this.requests.get(id);
    if (request) {
      this.queueOf(request.arrival.service).remove(id);
      this.requests.delete(id);
      if (request.current && this.requestOfAttempt.has(request.current))
        this.requestEnd(request.current);
    }
    const retryAfterMs = Math.max(REASONS[code].retryAfterMs, hintMs);
    const outcome = request?.mayHaveRun ? 'unknown' : REASONS[code].outcome;
    this.effects.push({kind: 'refuse', id, code, outcome, retryAfterMs});
    this.note(id, `refused: ${code} (${REASONS[code].meaning})`);
  }

  private queueOf(service: ServiceName): ClassQueue {
    const known = this.queues.get(service);
    if (known) return known;
    const queue = new ClassQueue();
    this.queues.set(service, queue);
    return queue;
  }

  private note(subject: string, reason: string): void {
    this.notes.push({subject, reason});
  }
}

/** Restores a core from its deserialized state. */
export const reviveRequestCore = reviverOf(RequestCore.prototype, {
  shares: reviveShareTable,
  queues: mapReviver(reviveClassQueue),
  times: reviveServiceTimes,
  budget: reviveRetryBudget,
  demand: reviveShareDemand,
});
