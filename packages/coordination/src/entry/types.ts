/** Types and ports of the request path. */
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

/** A client's request as it is forwarded to an upstream. */
export interface ForwardedRequest {
  readonly method: string;
  /** Path relative to the service, with the query string. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** A client's request in progress. */
export interface ClientRequest {
  readonly id: RequestId;
  readonly service: ServiceName;
  /**
   * Wall time by which the client wants the response, in ms since 1970; without
   * one, the default of the class applies.
   */
  readonly deadline?: number;
  readonly forwarded: ForwardedRequest;
  readonly signal: AbortSignal;
}

/** A complete response of an upstream. */
export interface UpstreamAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** An attempt to send. */
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
  /** Sends an attempt and resolves once it has ended, however long that takes. */
  send(call: AttemptCall): Promise<AttemptResult>;
  /** Cancels an attempt at its upstream; resolves once nothing of it runs there. */
  end(address: string, attempt: AttemptId): Promise<void>;
}

/** Calls the leaders of zones. */
export interface LeaderPort {
  /** Renews shares with the leader of the own zone. */
  syncShares(request: ShareRequest): Promise<ShareGrant>;
  /** Renews shares with the leader of another zone. */
  syncOtherZone(zone: ZoneId, request: ShareRequest): Promise<ShareGrant>;
}
