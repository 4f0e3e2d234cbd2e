/** Routes of the HTTP server for clients. */
import {
  makeRequestId,
  type ClientRequest,
  type ForwardedRequest,
  type UpstreamAnswer,
} from '@primrosewick/coordination';
import {CellError, asId, type ServiceName} from '@primrosewick/state';
import type {
  HttpContext,
  HttpHandler,
  HttpReply,
  Route,
} from '@primrosewick/transport';
import type {RouteContext} from './context.js';
import {jobRoutes} from './jobs.js';

/** Header with the wall time by which the client wants the response, in ms since 1970. */
export const DEADLINE_HEADER = 'primrosewick-deadline';
/** Header with the idempotency key, under which a retry counts as the same request. */
export const KEY_HEADER = 'idempotency-key';
/** Response header with the id of the request, for `explain`. */
export const REQUEST_HEADER = 'primrosewick-request';

const MAX_KEY_LENGTH = 255;
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'content-length',
  'expect',
]);
const INTERNAL_HEADER_PREFIX = 'primrosewick-';

/** Creates the routes for clients. */
export const clientRoutes = (
  context: RouteContext,
): Array<Route<HttpHandler>> => {
  let count = 0;
  const serve: HttpHandler = http => {
    count++;
    return serveRequest(context, http, count);
  };
  return [
    {method: '*', pattern: '/v1/services/:service/requests/*', handler: serve},
    ...jobRoutes(context),
  ];
};

const serveRequest = async (
  context: RouteContext,
  http: HttpContext,
  count: number,
): Promise<HttpReply> => {
  if (context.isStopping())
    throw new CellError({code: 'stopping', step: 'serve-request'});
  const body = await http.readBytes();
  const request: ClientRequest = {
    id: makeRequestId(context.holder, count),
    service: asId<ServiceName>(http.params['service'] ?? ''),
    deadline: deadlineOf(http),
    forwarded: forwardedOf(http, body),
    signal: http.signal,
  };
  const key = keyOf(http);
  const answer =
    key === undefined
      ? await context.entry.serve(request)
      : await context.idempotentRequests.serve(key, request);
  return replyOf(answer, request);
};

const deadlineOf = (http: HttpContext): number | undefined => {
  const text = http.req.headers[DEADLINE_HEADER];
  if (text === undefined) return undefined;
  const deadline = Number(text);
  if (Number.isSafeInteger(deadline) && deadline > 0) return deadline;
  throw new CellError({
    code: 'invalid_input',
    step: 'check-headers',
    peer: 'client',
    detail: `${DEADLINE_HEADER} must be a positive integer, in ms since 1970`,
  });
};

const keyOf = (http: HttpContext): string | undefined => {
  const key = http.req.headers[KEY_HEADER];
  if (key === undefined) return undefined;
  if (typeof key === 'string' && key.length > 0 && key.length <= MAX_KEY_LENGTH)
    return `${http.params['service']}\n${key}`;
  throw new CellError({
    code: 'invalid_input',
    step: 'check-headers',
    peer: 'client',
    detail: `${KEY_HEADER} must have 1 to ${MAX_KEY_LENGTH} characters`,
  });
};

const forwardedOf = (http: HttpContext, body: Buffer): ForwardedRequest => ({
  method: http.req.method ?? 'GET',
  path: (http.params['rest'] ?? '/') + queryOf(http),
  headers: forwardedHeaders(http.req.headers),
  body,
});

const queryOf = (http: HttpContext): string => {
  const query = http.query.toString();
  return query ? `?${query}` : '';
};

const forwardedHeaders = (
  headers: NodeJS.Dict<string | string[]>,
): Record<string, string> => {
  const passed: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (
      value === undefined ||
      HOP_BY_HOP_HEADERS.has(name) ||
      name.startsWith(INTERNAL_HEADER_PREFIX)
    )
      continue;
    passed[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return passed;
};

const replyOf = (
  answer: UpstreamAnswer,
  request: ClientRequest,
): HttpReply => ({
  status: answer.status,
  headers: {...answerHeaders(answer), [REQUEST_HEADER]: request.id},
  body: answer.body,
});

const answerHeaders = ({headers}: UpstreamAnswer): Record<string, string> =>
  Object.fromEntries(
    Object.entries(headers).filter(([name]) => !HOP_BY_HOP_HEADERS.has(name)),
  );
