/** HTTP client with deadlines, for calls to upstreams, workers and other services. */
import {
  request,
  type Agent,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import {CellError, isReasonCode, type ErrorBody} from '@primrosewick/state';
import {startTimeout, type Timer} from '../tasks/timers.js';
import {isCallable, splitAddress} from './address.js';
import {GrowingBuffer} from './budget/growing_buffer.js';
import {ConnectionPool} from './connection_pool.js';

/** Options of an HTTP call. */
export interface HttpCall {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array;
  /** Maximum duration of the whole call, in ms. */
  readonly timeoutMs: number;
  /** Part of it for which the peer is asked to wait before it responds, in ms. */
  readonly waitMs?: number;
  /** Maximum size of the response body, in bytes. */
  readonly maxResponseBytes: number;
  readonly agent?: Agent;
  /** Keeps the connections in place of `agent`, and is told which of them are silent. */
  readonly pool?: ConnectionPool;
  /** Aborts the call. */
  readonly signal?: AbortSignal;
  /**
   * Checked once connected, before the first byte is sent; the call is aborted
   * if it returns false.
   */
  readonly mayBegin?: () => boolean;
}

/** Complete response. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/**
 * Why a call failed; `lost` means that the connection broke after the request
 * was sent.
 */
export type HttpFailureKind =
  'unreachable' | 'lost' | 'timeout' | 'too_large' | 'aborted';

/** Failure of a call without a complete response. */
export class HttpFailure extends Error {
  constructor(
    readonly kind: HttpFailureKind,
    /** Whether any byte of the request may have been sent. */
    readonly mayHaveSent: boolean,
    detail: string,
  ) {
    super(detail);
    this.name = 'HttpFailure';
  }
}

/** Connections of calls that name neither an agent nor a pool; their timeouts differ. */
const DEFAULT_POOL = new ConnectionPool({maxConnections: 64, keepsBusy: true});

/**
 * Makes a call and reads its whole response.
 * @returns the response, never one with a truncated body.
 * @throws HttpFailure
 */
export const callHttp = (call: HttpCall): Promise<HttpResponse> =>
  new Promise((resolve, reject) => {
    new PendingCall(call, resolve, reject).start();
  });

/** One call in progress. */
class PendingCall {
  private mayHaveSent = false;
  private isSettled = false;
  private req: ClientRequest | undefined;
  private timer: Timer | undefined;
  private readonly pool: ConnectionPool | undefined;

  constructor(
    private readonly call: HttpCall,
    private readonly resolve: (answer: HttpResponse) => void,
    private readonly reject: (err: HttpFailure) => void,
  ) {
    const {pool, agent} = call;
    this.pool = pool ?? (agent ? undefined : DEFAULT_POOL);
  }

  start(): void {
    const {call} = this;
    const req = this.makeRequest();
    if (!req) return;
    this.req = req;
    this.timer = startTimeout(call.timeoutMs, () => this.timeOut());
    call.signal?.addEventListener('abort', () =>
      this.fail('aborted', 'the caller aborted the call'),
    );
    req.on('socket', socket => {
      if (!socket.connecting) this.sendRequest(req);
      else socket.once('connect', () => this.sendRequest(req));
    });
    req.on('error', err =>
      this.fail(this.mayHaveSent ? 'lost' : 'unreachable', err.message),
    );
    req.on('response', res => this.readResponse(res));
    if (call.signal?.aborted)
      this.fail('aborted', 'the caller aborted the call');
  }

  /** @returns undefined, with the call failed, where no request can be made. */
  private makeRequest(): ClientRequest | undefined {
    const {address, method, path, headers, body, agent} = this.call;
    const lengthHeader = body ? {'content-length': String(body.length)} : {};
    const target = splitAddress(address);
    if (!isCallable(target)) {
      this.fail('unreachable', 'the address has no host or no valid port');
      return undefined;
    }
    try {
      return request({
        ...target,
        method,
        path,
        headers: {...headers, ...lengthHeader},
        agent: this.pool?.agent ?? agent,
      });
    } catch (err) {
      // A method, path or header with characters that HTTP does not allow.
      this.fail('unreachable', String(err));
      return undefined;
    }
  }

  /** Sends the request; no byte of it is sent earlier. */
  private sendRequest(req: ClientRequest): void {
    const {address, mayBegin, body} = this.call;
    if (this.isSettled) return;
    if (mayBegin && !mayBegin())
      return this.fail('aborted', 'the call is no longer allowed to start');
    this.mayHaveSent = true;
    if (req.socket) this.pool?.noteSent(address, req.socket, performance.now());
    req.end(body);
  }

  private timeOut(): void {
    const {address, waitMs} = this.call;
    const socket = this.req?.socket;
    this.fail('timeout', 'no answer before the deadline');
    if (this.mayHaveSent && socket)
      this.pool?.noteSilent(address, socket, {
        now: performance.now(),
        waitMs,
      });
  }

  private readResponse(res: IncomingMessage): void {
    const {address} = this.call;
    this.pool?.noteHeard(address, res.socket, performance.now());
    const buffer = new GrowingBuffer(this.call.maxResponseBytes);
    res.on('data', (part: Buffer) => {
      if (!this.isSettled && !buffer.append(part))
        this.fail('too_large', 'the response body exceeds its limit');
    });
    res.on('error', err => this.fail('lost', err.message));
    res.on('close', () => {
      if (!res.complete)
        this.fail(
          'lost',
          'the connection closed before the response was complete',
        );
    });
    res.on('end', () => {
      if (res.complete) this.succeed(res, buffer.take());
    });
  }

  private succeed(res: IncomingMessage, body: Buffer): void {
    if (!this.settle()) return;
    this.resolve(new ReceivedResponse(res, body));
  }

  private fail(kind: HttpFailureKind, detail: string): void {
    if (!this.settle()) return;
    this.req?.destroy();
    this.reject(new HttpFailure(kind, this.mayHaveSent, detail));
  }

  private settle(): boolean {
    if (this.isSettled) return false;
    this.isSettled = true;
    this.timer?.cancel();
    return true;
  }
}

/** Response that joins its headers on access, since most callers never read them. */
class ReceivedResponse implements HttpResponse {
  readonly status: number;

  constructor(
    private readonly res: IncomingMessage,
    readonly body: Buffer,
  ) {
    this.status = res.statusCode ?? 0;
  }

  get headers(): Readonly<Record<string, string>> {
    return flattenHeaders(this.res);
  }
}

const flattenHeaders = (res: IncomingMessage): Record<string, string> => {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(res.headers)) {
    if (value !== undefined)
      headers[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return headers;
};

/** Options of `callJson`. */
export interface JsonCall {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
  readonly timeoutMs: number;
  readonly agent?: Agent;
}

const MAX_JSON_RESPONSE_BYTES = 32 * 1024 * 1024;

/**
 * Makes a call with a JSON request and response.
 * @returns the parsed response, cast to `T` without validation.
 * @throws CellError with the server's reason, `peer_unreachable` if nothing was
 *   sent, `peer_timeout` if the outcome is unknown, or `internal` for a response
 *   that is not understood.
 */
export const callJson = async <T>(call: JsonCall): Promise<T> => {
  const step = `${call.method} ${call.path}`;
  const response = await callHttp({
    ...call,
    headers: {'content-type': 'application/json', ...call.headers},
    body:
      call.body === undefined
        ? undefined
        : Buffer.from(JSON.stringify(call.body)),
    maxResponseBytes: MAX_JSON_RESPONSE_BYTES,
  }).catch((err: unknown) => {
    throw failureToError(err, step, call.address);
  });
  const parsed = parseResponse(response, step, call.address);
  if (response.status >= 200 && response.status < 300) return parsed as T;
  throw responseToError(parsed, response.status, step, call.address);
};

const failureToError = (
  err: unknown,
  step: string,
  peer: string,
): CellError => {
  const failure = err instanceof HttpFailure ? err : undefined;
  const code =
    failure && !failure.mayHaveSent ? 'peer_unreachable' : 'peer_timeout';
  return new CellError({
    code,
    step,
    peer,
    detail: err instanceof Error ? err.message : String(err),
  });
};

const parseResponse = (
  response: HttpResponse,
  step: string,
  peer: string,
): unknown => {
  if (response.body.length === 0) return undefined;
  try {
    return JSON.parse(response.body.toString('utf8'));
  } catch {
    throw new CellError({
      code: 'internal',
      step,
      peer,
      detail: `status ${response.status}, body is not valid JSON`,
    });
  }
};

const responseToError = (
  parsed: unknown,
  status: number,
  step: string,
  peer: string,
): CellError => {
  const error = (parsed as {error?: ErrorBody} | undefined)?.error;
  if (error && isReasonCode(error.code)) return CellError.fromBody(error);
  return new CellError({
    code: 'internal',
    step,
    peer,
    detail: `status ${status} without a known reason code`,
  });
};
