/** Serves the calls that other VMs multiplex over their streams. */
import {
  Server,
  ServerCredentials,
  type ServerDuplexStream,
  type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import {
  LINK_METHODS,
  MAX_LINK_FRAME_BYTES,
  type LinkFrame,
  type LinkMethod,
  type LinkMethods,
} from '@primrosewick/protocol';
import {CellError, toCellError, type VmId} from '@primrosewick/state';
import {workMeter, type WorkKind} from '../event_loop/work_meter.js';
import {splitAddress} from '../http/address.js';
import {startTimeout} from '../tasks/timers.js';
import {LINK_SERVICE, encodeMeasured} from './service.js';
import {UnnamedCallers} from './unnamed_callers.js';

/**
 * Handlers by method; the deadline is the caller's, on the monotonic clock in ms.
 * The signal is aborted when the caller no longer wants to wait, or has gone.
 */
export type LinkHandlers = {
  readonly [M in LinkMethod]: (
    request: LinkMethods[M]['request'],
    from: VmId,
    deadline: number,
    signal: AbortSignal,
  ) => Promise<LinkMethods[M]['reply']>;
};

/** A reply that could not be sent. */
export interface DroppedReply {
  readonly method: LinkMethod;
  readonly from: VmId;
  /** Body of the request. */
  readonly body: unknown;
  /** Time that the call took, in ms. */
  readonly tookMs: number;
}

/** How a server probes the connections of its callers. */
export interface LinkProbe {
  readonly intervalMs: number;
  /** Time for the answer to a probe, in ms. */
  readonly timeoutMs: number;
}

/**
 * Callers notice a silent connection first, and open another; this only frees what a
 * silent one holds at the server. Seldom, as hundreds of streams may lead to one VM.
 */
const DEFAULT_PROBE: LinkProbe = {intervalMs: 30_000, timeoutMs: 10_000};

/** Time for a caller to say who it is once its stream is open, in ms. */
const OPEN_TIMEOUT_MS = 3000;
/**
 * Streams whose callers have not said who they are, from one address and in all;
 * each may hold one frame. A VM opens one stream and says it at once.
 */
const MAX_UNNAMED = {perAddress: 16, total: 256};
/** Streams of one connection; a VM opens one. */
const MAX_STREAMS_PER_CONNECTION = 4;

/** Options of `LinkServer`. */
export interface LinkServerOptions {
  readonly address: string;
  /** Name of the cell; streams from other cells are closed. */
  readonly cell: string;
  readonly handlers: LinkHandlers;
  readonly onRefusal: (err: CellError) => void;
  /**
   * Called when the latest stream of another VM closes; an older stream may
   * close unnoticed.
   */
  readonly onDisconnected?: (vm: VmId) => void;
  /** How the server probes connections; tests shorten it. */
  readonly probe?: LinkProbe;
  /** Called when the stream has closed before the reply to a call is ready. */
  readonly onDroppedReply?: (reply: DroppedReply) => void;
}

/** Work kind under which the synchronous part of each handler is metered. */
const WORK_KINDS: Readonly<Record<LinkMethod, WorkKind>> = {
  hello: 'greeting',
  consensus: 'consensus',
  readIndex: 'question',
  readWorkflow: 'question',
  readConfirmed: 'question',
  workflow: 'call',
  announceWorker: 'announcement',
  heardWorkers: 'announcement',
  removeWorker: 'announcement',
  putBundle: 'config',
  getBundle: 'config',
  advise: 'advice',
};

type UntypedHandler = (
  request: unknown,
  from: VmId,
  deadline: number,
  signal: AbortSignal,
) => Promise<unknown>;
type CallFrame = Extract<LinkFrame, {kind: 'call'}>;
type Stream = ServerDuplexStream<LinkFrame, Buffer>;
/** Calls of one stream that are being handled, by their ids. */
type OpenCalls = Map<number, AbortController>;

/** Accepts streams from other VMs and dispatches their calls. */
export class LinkServer {
  private readonly server: Server;
  /** The latest stream of each VM. */
  private readonly streams = new Map<VmId, Stream>();
  private readonly unnamed = new UnnamedCallers(MAX_UNNAMED);

  constructor(private readonly options: LinkServerOptions) {
    const {intervalMs, timeoutMs} = options.probe ?? DEFAULT_PROBE;
    this.server = new Server({
      'grpc.max_receive_message_length': MAX_LINK_FRAME_BYTES,
      'grpc.max_send_message_length': MAX_LINK_FRAME_BYTES,
      'grpc.max_concurrent_streams': MAX_STREAMS_PER_CONNECTION,
      'grpc.keepalive_time_ms': intervalMs,
      'grpc.keepalive_timeout_ms': timeoutMs,
    });
    this.server.addService(LINK_SERVICE, {
      open: (stream: Stream) => this.accept(stream),
    } as UntypedServiceImplementation);
  }

  /** Starts listening. */
  listen(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.bindAsync(
        this.options.address,
        ServerCredentials.createInsecure(),
        err => (err ? reject(err) : resolve()),
      );
    });
  }

  /** Aborts all streams and stops listening. */
  close(): void {
    this.server.forceShutdown();
  }

  private accept(stream: Stream): void {
    let from: VmId | undefined;
    const calls: OpenCalls = new Map();
    const caller = splitAddress(stream.getPeer()).host;
    if (!this.unnamed.add(caller)) return this.reject(stream, caller);
    let isUnnamed = true;
    const leaveUnnamed = (): void => {
      if (isUnnamed) this.unnamed.remove(caller);
      isUnnamed = false;
      timer.cancel();
    };
    const timer = startTimeout(OPEN_TIMEOUT_MS, () => {
      leaveUnnamed();
      this.reject(stream, caller);
    });
    stream.on('data', (frame: LinkFrame) => {
      if (frame.kind === 'open') {
        leaveUnnamed();
        if (frame.cell !== this.options.cell) return void stream.end();
        from = frame.from;
        this.streams.set(from, stream);
        stream.write(encodeMeasured({kind: 'pong'}));
      } else if (from !== undefined) this.take(stream, from, frame, calls);
    });
    const onClosed = (): void => {
      leaveUnnamed();
      for (const controller of calls.values()) controller.abort();
      if (from) this.onStreamClosed(from, stream);
    };
    stream.on('end', () => {
      stream.end();
      onClosed();
    });
    stream.on('cancelled', onClosed);
    // The peer detects the broken stream itself and opens another.
    stream.on('error', onClosed);
  }

  /** Ends a stream whose caller has not said who it is. */
  private reject(stream: Stream, caller: string): void {
    this.options.onRefusal(
      new CellError({code: 'slow_sender', step: 'link-open', peer: caller}),
    );
    stream.on('error', () => undefined);
    stream.destroy();
  }

  private onStreamClosed(from: VmId, stream: Stream): void {
    if (this.streams.get(from) !== stream) return;
    this.streams.delete(from);
    this.options.onDisconnected?.(from);
  }

  private take(
    stream: Stream,
    from: VmId,
    frame: LinkFrame,
    calls: OpenCalls,
  ): void {
    switch (frame.kind) {
      case 'ping':
        stream.write(encodeMeasured({kind: 'pong'}));
        return;
      case 'call':
        void this.serve(stream, from, frame, calls);
        return;
      case 'cancel':
        calls.get(frame.id)?.abort();
        return;
      case 'open':
      case 'reply':
      case 'error':
      case 'pong':
        return;
      default:
        // Another version may send other kinds; an exception here would be uncaught.
        frame satisfies never;
        this.options.onRefusal(
          new CellError({
            code: 'invalid_input',
            step: 'link-frame',
            peer: from,
            detail: 'unknown kind of frame',
          }),
        );
    }
  }

  private async serve(
    stream: Stream,
    from: VmId,
    call: CallFrame,
    calls: OpenCalls,
  ): Promise<void> {
    const beganAt = performance.now();
    const controller = new AbortController();
    calls.set(call.id, controller);
    const reply = await this.run(from, call, controller.signal);
    calls.delete(call.id);
    if (!stream.destroyed && !stream.cancelled)
      return void stream.write(this.encodeReply(call, from, reply));
    const {method, body} = call;
    const tookMs = performance.now() - beganAt;
    this.options.onDroppedReply?.({method, from, body, tookMs});
  }

  /** Encodes a reply; one that exceeds a frame becomes an error, as it would break the stream. */
  private encodeReply(
    {id, method}: CallFrame,
    from: VmId,
    reply: LinkFrame,
  ): Buffer {
    const bytes = encodeMeasured(reply);
    if (bytes.length <= MAX_LINK_FRAME_BYTES) return bytes;
    const err = new CellError({
      code: 'answer_too_large',
      step: method,
      peer: from,
      detail: `an answer of ${bytes.length} bytes exceeds a frame`,
    });
    this.options.onRefusal(err);
    return encodeMeasured({kind: 'error', id, error: err.toBody()});
  }

  private async run(
    from: VmId,
    {id, method, body, leftMs}: CallFrame,
    signal: AbortSignal,
  ): Promise<LinkFrame> {
    try {
      const handler = this.options.handlers[method] as
        UntypedHandler | undefined;
      if (!handler)
        throw new CellError({
          code: 'unknown_path',
          step: 'link-call',
          peer: from,
          detail: `unknown method ${String(method)}`,
        });
      const deadline = deadlineOf(method, leftMs);
      if (deadline <= performance.now())
        throw new CellError({
          code: 'deadline_passed',
          step: method,
          peer: from,
        });
      const kind = WORK_KINDS[method];
      const answer = workMeter.measure(kind, () =>
        handler(body, from, deadline, signal),
      );
      return {kind: 'reply', id, body: await answer};
    } catch (thrown) {
      const err = toCellError(thrown, method);
      this.options.onRefusal(err);
      return {kind: 'error', id, error: err.toBody()};
    }
  }
}

/** Deadline of a call on the monotonic clock in ms; without a sound time, the method's. */
const deadlineOf = (method: LinkMethod, leftMs: unknown): number => {
  const isTold = typeof leftMs === 'number' && Number.isFinite(leftMs);
  const waitMs = isTold ? leftMs : LINK_METHODS[method].deadlineMs;
  return performance.now() + waitMs;
};
