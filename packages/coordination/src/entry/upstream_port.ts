/** HTTP client for upstreams. */
import {
  assertNever,
  type AttemptId,
  type UpstreamId,
} from '@primrosewick/state';
import {
  ConnectionPool,
  HttpFailure,
  callHttp,
  pause,
  type Clock,
  type HttpResponse,
} from '@primrosewick/transport';
import type {AttemptCall, AttemptResult, UpstreamPort} from './types.js';

/** Header with the holder of the share; upstreams count requests per holder. */
export const HOLDER_HEADER = 'primrosewick-holder';
/**
 * Header with the id of the addressed upstream; any other process at the
 * address must refuse the request.
 */
export const UPSTREAM_HEADER = 'primrosewick-upstream';
/** Header with the id of the attempt, by which it can be cancelled later. */
export const ATTEMPT_HEADER = 'primrosewick-attempt';
/** Header of a response whose request was rejected without being executed. */
export const NOT_TAKEN_HEADER = 'primrosewick-not-taken';

/** Options of {@link HttpUpstreamPort}. */
export interface HttpUpstreamPortOptions {
  readonly clock: Clock;
  readonly maxAnswerBytes: number;
  /** Time after which an unfinished attempt counts as lost, in ms. */
  readonly attemptMs: number;
}

const END_RETRY_MS = 500;
const END_TIMEOUT_MS = 2000;
/** Time after which an upstream that cannot be reached counts as gone, in ms. */
const END_GIVE_UP_MS = 60_000;

/** Sends attempts over HTTP; the granted slots bound the connections to each upstream. */
export class HttpUpstreamPort implements UpstreamPort {
  private readonly pools = new Map<UpstreamId, ConnectionPool>();

  constructor(private readonly options: HttpUpstreamPortOptions) {}

  async send(call: AttemptCall): Promise<AttemptResult> {
    const {clock, maxAnswerBytes, attemptMs} = this.options;
    const isShareValid = (): boolean => clock.now() < call.sendBefore;
    if (!isShareValid()) return {kind: 'unreachable'};
    try {
      const answer = await callHttp({
        address: call.address,
        method: call.request.method,
        path: call.request.path,
        headers: headersOf(call),
        body: call.request.body.length > 0 ? call.request.body : undefined,
        timeoutMs: attemptMs,
        maxResponseBytes: maxAnswerBytes,
        pool: this.poolOf(call.upstream),
        mayBegin: isShareValid,
      });
      return isRejected(answer)
        ? {kind: 'refused'}
        : {kind: 'answered', answer};
    } catch (err) {
      return resultOf(err);
    }
  }

  async end(address: string, attempt: AttemptId): Promise<void> {
    const {clock} = this.options;
    const giveUpAt = clock.now() + END_GIVE_UP_MS;
    while (clock.now() < giveUpAt) {
      if (await this.tryEnd(address, attempt)) return;
      await pause(clock, END_RETRY_MS);
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const pool of this.pools.values()) pool.close();
    this.pools.clear();
  }

  private async tryEnd(address: string, attempt: AttemptId): Promise<boolean> {
    try {
      const path = `/.primrosewick/attempts/${encodeURIComponent(attempt)}`;
      const {status} = await callHttp({
        address,
        method: 'DELETE',
        path,
        timeoutMs: END_TIMEOUT_MS,
        maxResponseBytes: 4096,
      });
      return status === 204 || status === 404;
    } catch (err) {
      const isRefused =
        err instanceof HttpFailure &&
        err.kind === 'unreachable' &&
        err.message.includes('ECONNREFUSED');
      return isRefused;
    }
  }

  private poolOf(upstream: UpstreamId): ConnectionPool {
    const known = this.pools.get(upstream);
    if (known) return known;
    const pool = new ConnectionPool({
      maxConnections: Number.POSITIVE_INFINITY,
      // A slow upstream must not lose the attempts beside the one that timed out.
      keepsBusy: true,
    });
    this.pools.set(upstream, pool);
    return pool;
  }
}

const headersOf = (call: AttemptCall): Record<string, string> => ({
  ...call.request.headers,
  [HOLDER_HEADER]: call.holder,
  [UPSTREAM_HEADER]: call.upstream,
  [ATTEMPT_HEADER]: call.attempt,
});

const isRejected = ({status, headers}: HttpResponse): boolean =>
  status === 503 && headers[NOT_TAKEN_HEADER] === 'true';

const resultOf = (err: unknown): AttemptResult => {
  if (!(err instanceof HttpFailure)) return {kind: 'lost'};
  switch (err.kind) {
    case 'unreachable':
      return {kind: 'unreachable'};
    case 'too_large':
      return {kind: 'too_large'};
    case 'lost':
    case 'timeout':
    case 'aborted':
      return err.mayHaveSent ? {kind: 'lost'} : {kind: 'unreachable'};
    default:
      return assertNever(err.kind);
  }
};
