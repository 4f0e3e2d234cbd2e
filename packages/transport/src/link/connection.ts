/** One stream to another VM, with its pending calls. */
import type {Socket} from 'node:net';
import {
  Client,
  Metadata,
  type ChannelCredentials,
  type ClientDuplexStream,
} from '@grpc/grpc-js';
import {
  MAX_LINK_FRAME_BYTES,
  decodeLinkFrame,
  encodeLinkFrame,
  type LinkFrame,
  type LinkMethod,
} from '@primrosewick/protocol';
import {
  CellError,
  asId,
  isReasonCode,
  type ErrorBody,
  type VmId,
} from '@primrosewick/state';
import {workMeter} from '../event_loop/work_meter.js';
import {startTimeout, type Timer} from '../tasks/timers.js';
import {LINK_PATH} from './service.js';
import {trackedCredentials} from './tracked_credentials.js';

/** Options of `LinkConnection`. */
export interface LinkConnectionOptions {
  readonly cell: string;
  readonly from: VmId;
  /** The other VM; its id is its address. */
  readonly to: VmId;
  readonly onClosed: () => void;
  readonly onBytes: (direction: 'sent' | 'received', bytes: number) => void;
}

/** Options of one call. */
export interface CallOptions {
  readonly timeoutMs: number;
  /** Aborted when the caller no longer wants to wait for an answer that is delayed. */
  readonly signal?: AbortSignal;
}

interface PendingCall {
  readonly step: string;
  readonly resolve: (body: unknown) => void;
  readonly reject: (err: CellError) => void;
  readonly timer: Timer;
  /** Stops listening for an abort of the caller. */
  readonly ignoreAbort: () => void;
  /** False while the call waits for the stream to open. */
  isSent: boolean;
}

/** Timeout for the peer's answer to the first frame, in ms. */
const OPEN_TIMEOUT_MS = 700;
/** Interval of liveness checks, in ms. */
export const PROBE_INTERVAL_MS = 300;
/** Silence after which a stream without pending calls is probed, in ms. */
const IDLE_PROBE_MS = 2000;
/** Time without a frame after an urgent call until the stream is probed, in ms. */
const URGENT_PROBE_MS = 100;
/** Time without a frame after that probe until another stream is opened, in ms. */
const REPLACE_MS = 200;
/** Shortest age of a stream that is replaced, in ms. */
const MIN_REPLACED_AGE_MS = 1000;
/** Time without a frame after a call or probe that makes a stream suspect, in ms. */
const SUSPECT_MS = 500;
/** Silence after which an idle stream is probed because another is suspect, in ms. */
const COMMON_PROBE_MS = 1000;
/**
 * A stream is closed if nothing is received for this long after a call or
 * probe, in ms.
 */
const SILENCE_LIMIT_MS = 1000;

/** Stream to another VM; it is not reopened once closed. */
export class LinkConnection {
  private readonly client: Client;
  private readonly stream: ClientDuplexStream<Buffer, LinkFrame>;
  private readonly pending = new Map<number, PendingCall>();
  private readonly opened: Promise<void>;
  private settleOpened: (err?: CellError) => void = () => undefined;
  private nextId = 1;
  private lastReceivedAt = performance.now();
  /** Monotonic time of the first call or probe since the last received frame, in ms. */
  private sentAt: number | undefined;
  /** Monotonic time of the first probe since the last received frame, in ms. */
  private probedAt: number | undefined;
  private readonly createdAt = performance.now();
  /** Sockets of a stream that is not open yet. */
  private readonly opening = new Set<Socket>();
  private isOpen = false;
  private isClosed = false;
  private readonly openTimer: Timer;

  constructor(private readonly options: LinkConnectionOptions) {
    this.client = new Client(options.to, this.credentials(), {
      'grpc.max_receive_message_length': MAX_LINK_FRAME_BYTES,
      'grpc.max_send_message_length': MAX_LINK_FRAME_BYTES,
      'grpc.enable_retries': 0,
      'grpc.use_local_subchannel_pool': 1,
    });
    this.stream = this.client.makeBidiStreamRequest(
      LINK_PATH,
      bytes => bytes,
      bytes => this.decode(bytes),
      new Metadata(),
    );
    this.opened = new Promise((resolve, reject) => {
      this.settleOpened = err => (err ? reject(err) : resolve());
    });
    // Avoids an unhandled rejection if no call is waiting.
    this.opened.catch(() => undefined);
    this.stream.on('data', frame => this.take(frame));
    this.stream.on('error', err => this.close(err.message));
    this.stream.on('end', () => this.close('the peer ended the stream'));
    this.write(
      this.encode({kind: 'open', cell: options.cell, from: options.from}),
    );
    this.openTimer = startTimeout(OPEN_TIMEOUT_MS, () =>
      this.close('no reply to the first frame'),
    );
  }

  /**
   * Sends a call. An abort of `signal` asks the peer to answer at once.
   * @throws CellError `peer_unreachable` when it was not sent, `body_too_large`
   *   when it exceeds a frame, `peer_timeout` when its outcome is unknown, or the
   *   peer's reason.
   */
  async call(
    step: string,
    body: unknown,
    {timeoutMs, signal}: CallOptions,
  ): Promise<unknown> {
    if (this.isClosed) throw this.unreachable(step, 'the stream is closed');
    return new Promise((resolve, reject) => {
      const id = this.nextId++;
      const timer = startTimeout(timeoutMs, () =>
        this.failCall(id, 'no answer before the deadline'),
      );
      const isSent = this.isOpen;
      const ignoreAbort = onAbort(signal, () => this.cancelCall(id));
      const settle = {resolve, reject, timer, ignoreAbort};
      this.pending.set(id, {step, isSent, ...settle});
      const deadline = performance.now() + timeoutMs;
      const send = (): void => this.sendCall(id, body, deadline);
      if (isSent) send();
      else this.opened.then(send).catch(() => undefined);
    });
  }

  /** Sends a call that may have waited for the stream to open, unless it has timed out. */
  private sendCall(id: number, body: unknown, deadline: number): void {
    const call = this.pending.get(id);
    if (!call) return;
    const method = call.step as LinkMethod;
    const leftMs = Math.max(0, Math.round(deadline - performance.now()));
    const bytes = this.encode({kind: 'call', id, method, body, leftMs});
    if (bytes.length > MAX_LINK_FRAME_BYTES)
      return this.rejectCall(id, this.tooLarge(method, bytes.length));
    call.isSent = true;
    this.ask(bytes);
  }

  /** Asks the peer to answer a call at once; one that was not sent just waits. */
  private cancelCall(id: number): void {
    if (this.pending.get(id)?.isSent)
      this.ask(this.encode({kind: 'cancel', id}));
  }

  private failCall(id: number, detail: string): void {
    const call = this.pending.get(id);
    if (!call) return;
    const {step, isSent} = call;
    this.rejectCall(
      id,
      isSent ? this.timeout(step, detail) : this.unreachable(step, detail),
    );
  }

  private rejectCall(id: number, err: CellError): void {
    const call = this.takeCall(id);
    call?.reject(err);
  }

  /** Removes and returns a pending call, whose outcome is now known. */
  private takeCall(id: number): PendingCall | undefined {
    const call = this.pending.get(id);
    if (!call) return undefined;
    this.pending.delete(id);
    call.timer.cancel();
    call.ignoreAbort();
    return call;
  }

  /** Closes the stream; the outcome of calls that were sent is unknown. */
  close(detail: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.openTimer.cancel();
    this.settleOpened(this.unreachable('open-link', detail));
    for (const id of [...this.pending.keys()]) this.failCall(id, detail);
    this.stream.cancel();
    this.client.close();
    for (const socket of this.opening) socket.destroy();
    this.options.onClosed();
  }

  private credentials(): ChannelCredentials {
    return trackedCredentials(socket => {
      if (this.isClosed) socket.destroy();
      else if (!this.isOpen) this.opening.add(socket);
    });
  }

  private take(frame: LinkFrame): void {
    this.lastReceivedAt = performance.now();
    this.sentAt = undefined;
    this.probedAt = undefined;
    if (!this.isOpen) {
      this.isOpen = true;
      this.openTimer.cancel();
      this.opening.clear();
      this.settleOpened();
    }
    if (frame.kind !== 'reply' && frame.kind !== 'error') return;
    const call = this.takeCall(frame.id);
    if (!call) return;
    if (frame.kind === 'reply') call.resolve(frame.body);
    else call.reject(this.toPeerError(call.step, frame.error));
  }

  private ask(bytes: Buffer): void {
    this.sentAt ??= performance.now();
    this.write(bytes);
  }

  private write(bytes: Buffer): void {
    this.options.onBytes('sent', bytes.length);
    this.stream.write(bytes);
  }

  private probe(): void {
    this.probedAt ??= performance.now();
    this.ask(this.encode({kind: 'ping'}));
  }

  /**
   * Whether an urgent call should go over another stream: a probe of this one is not
   * answered. Probes it if a call is not; a peer that is just slow answers the probe.
   */
  shouldReplace(): boolean {
    const now = performance.now();
    if (this.sentAt === undefined || now - this.sentAt < URGENT_PROBE_MS)
      return false;
    if (this.probedAt === undefined) this.probe();
    const isOld = now - this.createdAt >= MIN_REPLACED_AGE_MS;
    return isOld && now - this.probedAt! >= REPLACE_MS;
  }

  /** Whether any call waits for an answer. */
  get hasCalls(): boolean {
    return this.pending.size > 0;
  }

  /** Probes a silent stream, and closes it if a call or probe stays unanswered. */
  checkLiveness(): void {
    const now = performance.now();
    if (!this.isLivenessCheckDue(now)) return;
    if (this.isUnresponsive(now)) this.close('the stream went silent');
    else this.probe();
  }

  /** Whether a call or probe stays unanswered, so that other streams may be silent too. */
  isSuspect(now: number): boolean {
    return this.sentAt !== undefined && now - this.sentAt > SUSPECT_MS;
  }

  /** Probes a stream on which nothing is awaited, as another one is suspect. */
  probeIfIdle(now: number): void {
    const isIdle = this.isOpen && this.sentAt === undefined;
    if (isIdle && now - this.lastReceivedAt >= COMMON_PROBE_MS) this.probe();
  }

  /**
   * Whether a liveness check at a monotonic time in ms would do anything. With
   * hundreds of streams to one VM that are mostly idle, idle ones are probed less often.
   */
  isLivenessCheckDue(now: number): boolean {
    const silentMs = now - this.lastReceivedAt;
    if (!this.isOpen || silentMs < PROBE_INTERVAL_MS) return false;
    const probeMs = this.pending.size > 0 ? PROBE_INTERVAL_MS : IDLE_PROBE_MS;
    return silentMs >= probeMs || this.isUnresponsive(now);
  }

  private isUnresponsive(now: number): boolean {
    return this.sentAt !== undefined && now - this.sentAt > SILENCE_LIMIT_MS;
  }

  private encode(frame: LinkFrame): Buffer {
    return workMeter.measure('frame', () => encodeLinkFrame(frame));
  }

  private decode(bytes: Buffer): LinkFrame {
    this.options.onBytes('received', bytes.length);
    return workMeter.measure('frame', () => decodeLinkFrame(bytes));
  }

  /**
   * Error for the peer's reason, which is unknown here if the peer runs a later
   * version.
   */
  private toPeerError(step: string, body: ErrorBody | undefined): CellError {
    const peer = asId<VmId>(this.options.to);
    if (body && isReasonCode(body.code))
      return CellError.fromBody({...body, peer});
    const detail = `unknown reason code: ${String(body?.code)}`;
    return new CellError({code: 'peer_timeout', step, peer, detail});
  }

  private unreachable(step: string, detail: string): CellError {
    const peer = asId<VmId>(this.options.to);
    return new CellError({code: 'peer_unreachable', step, peer, detail});
  }

  private tooLarge(step: string, bytes: number): CellError {
    const peer = asId<VmId>(this.options.to);
    const detail = `a call of ${bytes} bytes exceeds a frame`;
    return new CellError({code: 'body_too_large', step, peer, detail});
  }

  private timeout(step: string, detail: string): CellError {
    const peer = asId<VmId>(this.options.to);
    return new CellError({code: 'peer_timeout', step, peer, detail});
  }
}

/** Calls `act` when a signal is aborted; @returns a function that stops listening. */
const onAbort = (
  signal: AbortSignal | undefined,
  act: () => void,
): (() => void) => {
  signal?.addEventListener('abort', act);
  return () => signal?.removeEventListener('abort', act);
};
