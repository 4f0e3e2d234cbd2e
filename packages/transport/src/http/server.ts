/**
 * HTTP server that limits the size and duration of everything an untrusted
 * client sends.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {Server as TcpServer, type Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {CellError, toCellError, type ReasonCode} from '@primrosewick/state';
import type {z} from 'zod';
import {splitAddress} from './address.js';
import {readBody} from './body.js';
import {
  PeerConnection,
  headerBytesOf,
  type RequestAccount,
} from './budget/connection.js';
import {BoundedMessage} from './budget/message.js';
import {DEFAULT_BUDGET, type PeerBudget} from './budget/task.js';
import type {ServerId} from './budget/types.js';
import {Router, type Route} from './router.js';

/** Limits of a server. */
export interface HttpLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Maximum time for the body to arrive, in ms. */
  readonly bodyMs: number;
  /** Maximum time for the headers to arrive, in ms; that of the body if absent. */
  readonly headerMs?: number;
  /** Time after which an idle connection is closed, in ms; 30 s if absent. */
  readonly idleMs?: number;
  readonly connections: number;
}

/** Request as passed to a handler. */
export interface HttpContext {
  readonly req: IncomingMessage;
  readonly params: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
  /** Aborted when the connection closes before the response was sent. */
  readonly signal: AbortSignal;
  /**
   * Reads the whole body.
   * @throws CellError `body_too_large`, `slow_sender` or `client_gone`.
   */
  readBytes(): Promise<Buffer>;
  /**
   * Reads the body as JSON and validates it.
   * @throws CellError as `readBytes`, `malformed_json` or `invalid_input`.
   */
  readJson<T>(schema: z.ZodType<T>): Promise<T>;
}

/** Response of a handler. */
export interface HttpReply {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** A `Uint8Array` is sent unchanged, anything else as JSON; defaults to `{}`. */
  readonly body?: unknown;
}

/** Handles one request; a thrown error becomes the error response. */
export type HttpHandler = (
  context: HttpContext,
) => Promise<HttpReply> | HttpReply;

/** Options of `HttpServer`. */
export interface HttpServerOptions {
  readonly address: string;
  readonly limits: HttpLimits;
  /** Stricter or looser limits in force now; `limits` alone if absent. */
  readonly currentLimits?: () => HttpLimits;
  /** Budget that the servers of the process share; that of the process if absent. */
  readonly budget?: PeerBudget;
  readonly routes: ReadonlyArray<Route<HttpHandler>>;
  /** Handles requests whose path matches no route. */
  readonly fallback?: HttpHandler;
  /** Called before the route lookup; throws to reject the request. */
  readonly guard?: (req: IncomingMessage, path: string) => void;
  /** Called for each request that is answered with an error. */
  readonly onRefusal: (err: CellError) => void;
}

/** HTTP server with a route table, request limits and JSON errors. */
export class HttpServer {
  private readonly server: Server;
  private readonly router: Router<HttpHandler>;
  private readonly budget: PeerBudget;
  private readonly id: ServerId;
  private readonly connections = new WeakMap<Socket, PeerConnection>();
  /** Limits that the server was last set to. */
  private inForce: HttpLimits | undefined;
  private isClosing = false;

  constructor(private readonly options: HttpServerOptions) {
    this.router = new Router(options.routes);
    this.budget = options.budget ?? DEFAULT_BUDGET;
    this.id = this.budget.addServer();
    this.server = createServer({
      IncomingMessage: BoundedMessage,
      maxHeaderSize: options.limits.headerBytes,
      // Checked in `route`: Node would answer before the request is accounted for.
      requireHostHeader: false,
      connectionsCheckingInterval: 1000,
    });
    this.applyLimits();
    this.server.on('connection', socket => this.accept(socket));
    const take = (req: IncomingMessage, res: ServerResponse): void =>
      this.connections.get(req.socket)?.take(req, res);
    this.server.on('request', take);
    // An expectation that isn't known is ignored; Node would answer it by itself.
    this.server.on('checkExpectation', take);
    this.server.on('clientError', (err, socket) =>
      this.rejectSocket(err, socket),
    );
  }

  /** Starts listening. */
  listen(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(splitAddress(this.options.address), resolve);
    });
  }

  /**
   * Stops accepting connections, and resolves once all requests have ended. Kept
   * connections are closed with their next response, or after a while without a
   * request: one that is under way would be reset.
   */
  close(): Promise<void> {
    this.isClosing = true;
    return new Promise(resolve => {
      // That of the HTTP server closes idle connections at once.
      TcpServer.prototype.close.call(this.server, () => resolve());
      setTimeout(() => this.server.close(), CLOSE_IDLE_AFTER_MS);
    });
  }

  /** Closes all connections immediately. */
  destroy(): void {
    this.server.closeAllConnections();
  }

  /** Sets the times to the limits in force. */
  private applyLimits(): HttpLimits {
    const limits = this.options.currentLimits?.() ?? this.options.limits;
    if (limits === this.inForce) return limits;
    this.inForce = limits;
    const {bodyMs, headerMs = bodyMs, idleMs = DEFAULT_IDLE_MS} = limits;
    this.server.headersTimeout = headerMs;
    this.server.requestTimeout = headerMs + bodyMs + REQUEST_MARGIN_MS;
    this.server.keepAliveTimeout = idleMs;
    return limits;
  }

  private accept(socket: Socket): void {
    const {connections, headerBytes} = this.applyLimits();
    const connection = new PeerConnection({
      socket,
      budget: this.budget,
      server: this.id,
      maxOfServer: connections,
      maxHeaderBytes: headerBytes,
      start: (req, res, account) => void this.serve(req, res, account),
    });
    this.connections.set(socket, connection);
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
    account: RequestAccount,
  ): Promise<void> {
    try {
      const reply = await this.route(req, res, account);
      if (hasLongRest(req)) {
        account.endInput();
        if (!res.headersSent) res.setHeader('connection', 'close');
      }
      this.send(res, reply, account);
    } catch (err) {
      this.sendError(req, res, toCellError(err, 'serve'), account);
    }
  }

  private async route(
    req: IncomingMessage,
    res: ServerResponse,
    account: RequestAccount,
  ): Promise<HttpReply> {
    const limits = this.applyLimits();
    if (
      limits.headerBytes < this.options.limits.headerBytes &&
      headerBytesOf(req) > limits.headerBytes
    )
      throw new CellError({code: 'headers_too_large', step: 'route'});
    requireHost(req);
    const url = parseUrl(req.url);
    this.options.guard?.(req, url.pathname);
    const lookup = this.router.find(req.method ?? 'GET', url.pathname);
    const {fallback} = this.options;
    if (lookup.kind === 'unknown_path' && fallback)
      return fallback(
        this.makeContext({req, res, account, limits}, {}, url.searchParams),
      );
    if (lookup.kind === 'unknown_path')
      throw new CellError({code: 'unknown_path', step: 'route'});
    if (lookup.kind === 'wrong_method')
      throw new CellError({code: 'method_not_allowed', step: 'route'});
    const {handler, params} = lookup.match;
    return handler(
      this.makeContext({req, res, account, limits}, params, url.searchParams),
    );
  }

  private makeContext(
    {req, res, account, limits}: Exchange,
    params: Readonly<Record<string, string>>,
    query: URLSearchParams,
  ): HttpContext {
    let signal: AbortSignal | undefined;
    const {bodyBytes: maxBytes, bodyMs: timeoutMs} = limits;
    const readBytes = () => readBody(req, {maxBytes, timeoutMs, account});
    return {
      req,
      params,
      query,
      get signal() {
        return (signal ??= signalOf(res));
      },
      readBytes,
      readJson: async schema => checkJson(await readBytes(), schema),
    };
  }

  private send(
    res: ServerResponse,
    reply: HttpReply,
    account: RequestAccount,
  ): void {
    if (res.destroyed) return;
    const isBytes = reply.body instanceof Uint8Array;
    const body = isBytes
      ? (reply.body as Uint8Array)
      : Buffer.from(JSON.stringify(reply.body ?? {}) + '\n');
    const type = isBytes ? {} : {'content-type': 'application/json'};
    if (this.isClosing) res.setHeader('connection', 'close');
    res.writeHead(reply.status, {
      ...type,
      ...reply.headers,
      'content-length': body.length,
    });
    sendBody(res, body, account);
  }

  private sendError(
    req: IncomingMessage,
    res: ServerResponse,
    err: CellError,
    account: RequestAccount,
  ): void {
    this.options.onRefusal(err);
    if (res.headersSent || res.destroyed) return;
    const isUnread = !req.complete;
    if (isUnread) {
      account.endInput();
      res.setHeader('connection', 'close');
    }
    const headers = retryHeaders(err);
    const body = {error: err.toBody()};
    this.send(res, {status: err.status, headers, body}, account);
    if (isUnread) req.resume();
  }

  private rejectSocket(cause: Error & {code?: string}, socket: Duplex): void {
    const err = new CellError({
      code: socketReason(cause.code),
      step: 'parse-request',
      detail: cause.message,
    });
    this.options.onRefusal(err);
    if (!socket.writable) return void socket.destroy();
    const body = JSON.stringify({error: err.toBody()}) + '\n';
    const head = `HTTP/1.1 ${err.status} Refused\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n`;
    socket.end(head + body);
    setTimeout(() => socket.destroy(), REJECTED_LINGER_MS).unref();
  }
}

/** Time for which a connection whose request was not understood stays, in ms. */
const REJECTED_LINGER_MS = 500;
/** Time for a kept connection to bring another request when the server closes, in ms. */
const CLOSE_IDLE_AFTER_MS = 250;
/** Time after which an idle connection is closed, in ms. */
const DEFAULT_IDLE_MS = 30_000;
/** Time for which a request may last beyond the limits of its parts, in ms. */
const REQUEST_MARGIN_MS = 2000;
/** Part of a response that is written at once, in bytes. */
const PART_BYTES = 64 * 1024;

/** Body that is drained after its response, so that the connection is kept, in bytes. */
const MAX_DRAINED_BYTES = 16 * 1024;

/** Whether more of a body may follow than is drained. */
const hasLongRest = ({complete, headers}: IncomingMessage): boolean =>
  !complete &&
  (headers['transfer-encoding'] !== undefined ||
    Number(headers['content-length'] ?? 0) > MAX_DRAINED_BYTES);

/** A signal that is aborted when a connection closes before the response was sent. */
const signalOf = (res: ServerResponse): AbortSignal => {
  if (res.closed && !res.writableFinished) return AbortSignal.abort();
  const controller = new AbortController();
  res.once('close', () => {
    if (!res.writableFinished) controller.abort();
  });
  return controller.signal;
};

/** A request and its response, with what counts for it. */
interface Exchange {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly account: RequestAccount;
  readonly limits: HttpLimits;
}

/**
 * Sends a body, a large one in parts, so that a peer that reads slowly differs
 * from one that reads nothing.
 */
const sendBody = (
  res: ServerResponse,
  body: Uint8Array,
  account: RequestAccount,
): void => {
  account.addUnsent(body.length);
  if (body.length <= PART_BYTES) return void res.end(body);
  let sent = 0;
  const sendPart = (): void => {
    if (res.destroyed) return;
    const part = body.subarray(sent, sent + PART_BYTES);
    sent += part.length;
    const onSent = (): void => {
      account.addUnsent(-part.length);
      if (sent < body.length) sendPart();
    };
    if (sent < body.length) res.write(part, onSent);
    else res.end(part, onSent);
  };
  sendPart();
};

/** `retry-after` header for an error that allows a retry, in whole seconds rounded up. */
export const retryHeaders = (err: CellError): Record<string, string> =>
  err.retryAfterMs > 0
    ? {'retry-after': String(Math.ceil(err.retryAfterMs / 1000))}
    : {};

const socketReason = (code: string | undefined): ReasonCode => {
  if (code === 'HPE_HEADER_OVERFLOW') return 'headers_too_large';
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return 'slow_sender';
  return 'invalid_input';
};

/** @throws CellError `invalid_input` for a request of HTTP/1.1 without a host. */
const requireHost = ({headers, httpVersion}: IncomingMessage): void => {
  if (headers.host !== undefined || httpVersion !== '1.1') return;
  throw new CellError({
    code: 'invalid_input',
    step: 'route',
    detail: 'the header Host is missing',
  });
};

const parseUrl = (url: string | undefined): URL => {
  try {
    return new URL(url ?? '/', 'http://local');
  } catch {
    throw new CellError({code: 'invalid_input', step: 'parse-url'});
  }
};

const checkJson = <T>(bytes: Buffer, schema: z.ZodType<T>): T => {
  const parsed = schema.safeParse(parseJson(bytes));
  if (parsed.success) return parsed.data;
  const detail = parsed.error.issues
    .map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`)
    .join('; ');
  throw new CellError({
    code: 'invalid_input',
    step: 'check-body',
    peer: 'client',
    detail,
  });
};

const parseJson = (bytes: Buffer): unknown => {
  try {
    return JSON.parse(bytes.toString('utf8'));
  } catch (err) {
    const detail = err instanceof Error ? err.message : undefined;
    throw new CellError({
      code: 'malformed_json',
      step: 'parse-body',
      peer: 'client',
      detail,
    });
  }
};
