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
import type {Duplex} from 'node:stream';
import {CellError, toCellError, type ReasonCode} from '@primrosewick/state';
import type {z} from 'zod';
import {splitAddress} from './address.js';
import {readBody} from './body.js';
import {Router, type Route} from './router.js';

/** Limits of a server. */
export interface HttpLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Maximum time for the headers, and again for the body, to arrive, in ms. */
  readonly bodyMs: number;
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
  private isClosing = false;

  constructor(private readonly options: HttpServerOptions) {
    const {limits} = options;
    this.router = new Router(options.routes);
    this.server = createServer({
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.bodyMs,
      requestTimeout: 0,
      keepAliveTimeout: 30_000,
      connectionsCheckingInterval: 1000,
    });
    this.server.maxConnections = limits.connections;
    this.server.on('request', (req, res) => void this.serve(req, res));
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

  /** Stops accepting connections, and resolves once all requests have ended. */
  close(): Promise<void> {
    this.isClosing = true;
    return new Promise(resolve => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  /** Closes all connections immediately. */
  destroy(): void {
    this.server.closeAllConnections();
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    try {
      const reply = await this.route(req, res);
      this.send(res, reply);
    } catch (err) {
      this.sendError(req, res, toCellError(err, 'serve'));
    }
  }

  private async route(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<HttpReply> {
    const url = parseUrl(req.url);
    this.options.guard?.(req, url.pathname);
    const lookup = this.router.find(req.method ?? 'GET', url.pathname);
    const {fallback} = this.options;
    if (lookup.kind === 'unknown_path' && fallback)
      return fallback(this.makeContext(req, res, {}, url.searchParams));
    if (lookup.kind === 'unknown_path')
      throw new CellError({code: 'unknown_path', step: 'route'});
    if (lookup.kind === 'wrong_method')
      throw new CellError({code: 'method_not_allowed', step: 'route'});
    const {handler, params} = lookup.match;
    return handler(this.makeContext(req, res, params, url.searchParams));
  }

  private makeContext(
    req: IncomingMessage,
    res: ServerResponse,
    params: Readonly<Record<string, string>>,
    query: URLSearchParams,
  ): HttpContext {
    const controller = new AbortController();
    res.on('close', () => {
      if (!res.writableFinished) controller.abort();
    });
    const {bodyBytes, bodyMs} = this.options.limits;
    const readBytes = () =>
      readBody(req, {maxBytes: bodyBytes, timeoutMs: bodyMs});
    return {
      req,
      params,
      query,
      signal: controller.signal,
      readBytes,
      readJson: async schema => checkJson(await readBytes(), schema),
    };
  }

  private send(res: ServerResponse, reply: HttpReply): void {
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
    res.end(body);
  }

  private sendError(
    req: IncomingMessage,
    res: ServerResponse,
    err: CellError,
  ): void {
    this.options.onRefusal(err);
    if (res.headersSent || res.destroyed) return;
    const isUnread = !req.complete;
    if (isUnread) res.setHeader('connection', 'close');
    this.send(res, {
      status: err.status,
      headers: retryHeaders(err),
      body: {error: err.toBody()},
    });
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
  }
}

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
