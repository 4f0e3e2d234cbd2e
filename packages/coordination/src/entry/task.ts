/** Request path of one entry node: executes the effects of the request core. */
import type {Subscription} from 'rxjs';
import {
  CellError,
  RequestCore,
  asId,
  classOfPath,
  fromImage,
  reviveRequestCore,
  toImage,
  type AttemptFailure,
  type Arrival,
  type AttemptId,
  type HolderId,
  type RequestEffect,
  type RequestEvent,
  type RequestId,
  type RequestLimits,
  type ZoneId,
} from '@primrosewick/state';
import type {Clock, Metrics} from '@primrosewick/transport';
import type {ReplicaTask} from '../replica/task.js';
import type {Recorder} from '../zone/types.js';
import {ShareRenewal} from './share_renewal.js';
import type {
  AttemptResult,
  ClientRequest,
  LeaderPort,
  UpstreamAnswer,
  UpstreamPort,
} from './types.js';

/** Options of {@link EntryTask}. */
export interface EntryTaskOptions {
  readonly zone: ZoneId;
  /** Other zones, from which slots may be borrowed. */
  readonly otherZones: readonly ZoneId[];
  readonly holder: HolderId;
  readonly replica: ReplicaTask;
  readonly leader: LeaderPort;
  readonly upstreams: UpstreamPort;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly recorder: Recorder;
  readonly limits: Partial<RequestLimits>;
  readonly syncMs: number;
  /** Connections that this entry node may open to an upstream that accepts the given number. */
  readonly connectionLimitFor: (connections: number) => number;
}

const TICK_MS = 20;
const IDEMPOTENT_METHODS = new Set([
  'GET',
  'HEAD',
  'PUT',
  'DELETE',
  'OPTIONS',
  'TRACE',
]);

interface PendingRequest {
  readonly request: ClientRequest;
  readonly cls: string;
  readonly resolve: (answer: UpstreamAnswer) => void;
  readonly reject: (err: CellError) => void;
}

/**
 * Whether a request with this method may be resent after its response was lost
 * (RFC 9110, 9.2.2).
 */
export const isIdempotentMethod = (method: string): boolean =>
  IDEMPOTENT_METHODS.has(method);

/** Request path of one entry node. */
export class EntryTask {
  private core: RequestCore;
  private readonly pending = new Map<RequestId, PendingRequest>();
  private readonly answers = new Map<AttemptId, UpstreamAnswer>();
  private ticker: Subscription | null = null;
  private readonly renewal: ShareRenewal;

  constructor(private readonly options: EntryTaskOptions) {
    this.core = new RequestCore(options.limits);
    this.renewal = new ShareRenewal({
      ...options,
      step: event => this.step(event),
    });
    options.recorder.start('requests', options.limits);
    options.replica.changes.subscribe(() => this.closeStoppedServices());
  }

  /** Starts the renewal of shares. */
  start(): void {
    this.renewal.start(this.options.syncMs);
  }

  /** Stops the renewal of shares; returns the shares if no request is open. */
  async stop(): Promise<void> {
    await this.renewal.stop(this.core.open === 0);
  }

  /** Number of open requests, queued or running. */
  get open(): number {
    return this.core.open;
  }

  /** Number of requests that wait for a slot. */
  get queued(): number {
    return this.core.queued;
  }

  /** Lists the shares held, for the status page. */
  listShares(): Array<{upstream: string; slots: number; busy: number}> {
    return this.core.listShares().map(({upstream, slots, attempts}) => ({
      upstream,
      slots,
      busy: attempts.size,
    }));
  }

  /**
   * Serves one request.
   * @returns the complete response of an upstream.
   * @throws CellError with the reason of the refusal.
   */
  serve(request: ClientRequest): Promise<UpstreamAnswer> {
    const {arrival} = this.admit(request);
    return new Promise((resolve, reject) => {
      this.pending.set(request.id, {
        request,
        cls: arrival.cls,
        resolve,
        reject,
      });
      request.signal.addEventListener('abort', () => this.cancel(request.id));
      this.step({kind: 'arrive', now: this.options.clock.now(), arrival});
    });
  }

  private admit(request: ClientRequest): {arrival: Arrival} {
    const {replica, clock} = this.options;
    const step = 'admit';
    if (!replica.isReady) throw new CellError({code: 'starting', step});
    const {state} = replica.replica;
    const service = state.getService(request.service);
    if (!service)
      throw new CellError({
        code: 'unknown_service',
        step,
        detail: `no service "${request.service}"`,
      });
    if (service.state !== 'running')
      throw new CellError({
        code: 'service_not_running',
        step,
        peer: request.service,
      });
    const profile = state.getProfile(service.service.profile)?.profile;
    if (!profile)
      throw new CellError({
        code: 'unknown_profile',
        step,
        peer: service.service.profile,
      });
    const cls = classOfPath(profile, request.forwarded.path);
    if (!cls)
      throw new CellError({code: 'unknown_class', step, peer: profile.name});
    const leftMs =
      request.deadline === undefined
        ? cls.deadlineMs
        : request.deadline - clock.wall();
    if (leftMs <= 0) throw new CellError({code: 'deadline_passed', step});
    const arrival: Arrival = {
      id: request.id,
      service: request.service,
      cls: cls.name,
      priority: cls.priority,
      queueBound: cls.queueBound,
      deadline: clock.now() + leftMs,
      isIdempotent: isIdempotentMethod(request.forwarded.method),
    };
    return {arrival};
  }

  private cancel(id: RequestId): void {
    if (this.pending.has(id))
      this.step({kind: 'cancel', now: this.options.clock.now(), id});
  }

  private step(event: RequestEvent): readonly RequestEffect[] {
    const {recorder} = this.options;
    const {effects, notes} = this.core.step(event);
    const isIdleTick = event.kind === 'tick' && effects.length === 0;
    if (!isIdleTick)
      recorder.record({core: 'requests', event, outcome: effects, notes});
    if (recorder.isFull('requests')) this.restoreCore();
    for (const effect of effects) this.execute(effect);
    this.updateTicker();
    return effects;
  }

  /** Runs the tick timer only while requests are open, so that an idle entry node does no work. */
  private updateTicker(): void {
    const {clock} = this.options;
    if (this.core.open === 0) {
      this.ticker?.unsubscribe();
      this.ticker = null;
      return;
    }
    this.ticker ??= clock
      .every(TICK_MS)
      .subscribe(() => void this.step({kind: 'tick', now: clock.now()}));
  }

  /** Restores the core from its own image, so that a replay of the journal can start there. */
  private restoreCore(): void {
    const image = toImage(this.core);
    this.options.recorder.resume('requests', image);
    this.core = fromImage(image, reviveRequestCore);
  }

  private execute(effect: RequestEffect): void {
    const {metrics} = this.options;
    switch (effect.kind) {
      case 'dispatch':
        return void this.dispatch(effect);
      case 'deliver':
        return this.deliver(effect.id, effect.attempt);
      case 'refuse':
        return this.refuse(effect);
      case 'end_attempt':
        return void this.endAttempt(effect.attempt, effect.address);
      case 'retry':
        return metrics.addRetry(
          effect.why === 'lost_idempotent' ? 'lost_idempotent' : effect.why,
        );
      case 'drop_answer':
        this.answers.delete(effect.attempt);
        return metrics.addDrop('late_answer');
      case 'borrow':
        return this.renewal.borrow();
      case 'sync':
        return;
    }
  }

  private async dispatch(
    effect: Extract<RequestEffect, {kind: 'dispatch'}>,
  ): Promise<void> {
    const pending = this.pending.get(effect.id);
    if (!pending) return;
    const {clock, metrics, upstreams, holder} = this.options;
    metrics.addWait(pending.cls, effect.waitMs);
    const {attempt, upstream, address, shareDeadline: sendBefore} = effect;
    const isShareValid = clock.now() < sendBefore;
    const result = isShareValid
      ? await upstreams.send({
          attempt,
          upstream,
          address,
          holder,
          request: pending.request.forwarded,
          sendBefore,
        })
      : {kind: 'unreachable' as const};
    this.onResult(attempt, result);
  }

  private onResult(attempt: AttemptId, result: AttemptResult): void {
    const now = this.options.clock.now();
    if (result.kind === 'answered') {
      this.answers.set(attempt, result.answer);
      this.step({kind: 'answered', now, attempt});
      return;
    }
    const failure: AttemptFailure = result.kind;
    this.step({kind: 'failed', now, attempt, failure});
  }

  private deliver(id: RequestId, attempt: AttemptId): void {
    const pending = this.pending.get(id);
    const answer = this.answers.get(attempt);
    this.pending.delete(id);
    this.answers.delete(attempt);
    if (!pending || !answer) return;
    this.options.metrics.addAnswer(pending.cls);
    pending.resolve(answer);
  }

  private refuse({
    id,
    code,
    outcome,
    retryAfterMs,
  }: Extract<RequestEffect, {kind: 'refuse'}>): void {
    const pending = this.pending.get(id);
    this.pending.delete(id);
    pending?.reject(
      new CellError({
        code,
        outcome,
        step: 'schedule',
        peer: pending.request.service,
        retryAfterMs,
      }),
    );
  }

  private async endAttempt(attempt: AttemptId, address: string): Promise<void> {
    await this.options.upstreams.end(address, attempt);
    this.step({kind: 'ended', now: this.options.clock.now(), attempt});
  }

  private closeStoppedServices(): void {
    const now = this.options.clock.now();
    for (const {
      service,
      state,
    } of this.options.replica.replica.state.listServices()) {
      if (state !== 'running')
        this.step({kind: 'close_service', now, service: service.name});
    }
  }
}

/** Builds the id of a request, unique across VMs and restarts. */
export const makeRequestId = (holder: HolderId, count: number): RequestId =>
  asId<RequestId>(`${holder}-${count}`);
