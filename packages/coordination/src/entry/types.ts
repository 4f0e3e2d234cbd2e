/** Seams of the request path. */
import type {
  AttemptId,
  HolderId,
  RequestId,
  ServiceName,
  ShareRequest,
  UpstreamId,
  ZoneId,
} from '@primrosewick/state';
import type {ShareGrant} from '@primrosewick/protocol';

/** A client's request as it is passed to an upstream. */
export interface ForwardedRequest {
  readonly method: string;
  /** Path below the service, with its query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** A client's request on its way. */
export interface ClientRequest {
  readonly id: RequestId;
  readonly service: ServiceName;
  /** Wall time by which the client wants its answer, in ms since 1970; none for the default of the class. */
  readonly deadline?: number;
  readonly forwarded: ForwardedRequest;
  readonly signal: AbortSignal;
}

/** A whole answer of an upstream. */
export interface UpstreamAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** One attempt to be sent. */
export interface AttemptCall {
  readonly attempt: AttemptId;
  readonly upstream: UpstreamId;
  readonly address: string;
  readonly holder: HolderId;
  readonly request: ForwardedRequest;
  /** Monotonic time after which the attempt must not be sent, in ms. */
  readonly sendBefore: number;
}

/** How an attempt ended. */
export type AttemptResult =
  | {readonly kind: 'answered'; readonly answer: UpstreamAnswer}
  | {readonly kind: 'unreachable'}
  | {readonly kind: 'refused'}
  | {readonly kind: 'lost'}
  | {readonly kind: 'too_large'};

/** Sends attempts to upstreams. */
export interface UpstreamPort {
  /** Sends an attempt and waits for its end, however long that takes. */
  send(call: AttemptCall): Promise<AttemptResult>;
  /** Asks an upstream to end an attempt; resolves once nothing of it runs there. */
  end(address: string, attempt: AttemptId): Promise<void>;
}

/** Reaches the leaders of zones. */
export interface LeaderPort {
  /** Renews the shares of the own zone. */
  syncShares(request: ShareRequest): Promise<ShareGrant>;
  /** Renews the shares of another zone. */
  syncOtherZone(zone: ZoneId, request: ShareRequest): Promise<ShareGrant>;
}
