/**
 * Requests with an idempotency key: each key is claimed in the cell log before
 * its request is dispatched.
 */
import {
  CellError,
  digestOf,
  toCellError,
  type KeyAnswer,
  type KeyRecord,
} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import type {LogPort} from '../zone/types.js';
import type {ClientRequest, UpstreamAnswer} from './types.js';

/** Header of a response that is replayed from an earlier request with the same key. */
export const REPLAYED_HEADER = 'primrosewick-replayed';

/** Largest response stored for replay, in bytes. */
const MAX_STORED_BYTES = 16 * 1024;
/** Time after the deadline of a request at which its unsettled key counts as lost, in ms. */
const SETTLE_GRACE_MS = 10_000;
/** Deadline assumed when settling the key of a request without one, in ms after its arrival. */
const DEFAULT_DEADLINE_MS = 120_000;

/** Options of {@link IdempotentRequests}. */
export interface IdempotentRequestsOptions {
  readonly log: LogPort;
  readonly clock: Clock;
  /** Dispatches a request. */
  readonly serve: (request: ClientRequest) => Promise<UpstreamAnswer>;
  /**
   * Called when the result of a key could not be recorded; a retry then fails
   * because the response is lost.
   */
  readonly onSettleFailure: (err: CellError) => void;
}

/**
 * Executes the request of each idempotency key at most once, at whichever entry
 * node it arrives.
 */
export class IdempotentRequests {
  constructor(private readonly options: IdempotentRequestsOptions) {}

  /**
   * Serves a request with an idempotency key.
   * @throws CellError `key_reused`, `key_in_progress`, `key_lost`, or the error
   *   of the request itself.
   */
  async serve(key: string, request: ClientRequest): Promise<UpstreamAnswer> {
    const {record, isClaimed} = await this.claim(key, request);
    if (!isClaimed) return replayAnswer(record);
    try {
      const answer = await this.options.serve(request);
      void this.settle(key, request, toKeyAnswer(answer));
      return answer;
    } catch (err) {
      const error = toCellError(err, 'serve-keyed');
      void this.settle(key, request, {kind: error.outcome});
      throw error;
    }
  }

  private async claim(
    key: string,
    request: ClientRequest,
  ): Promise<{record: KeyRecord; isClaimed: boolean}> {
    const {log, clock} = this.options;
    const {method, path, body: payload} = request.forwarded;
    const digest = digestOf([
      request.service,
      method,
      path,
      Buffer.from(payload).toString('base64'),
    ]);
    const at = clock.wall();
    const settleBy =
      (request.deadline ?? at + DEFAULT_DEADLINE_MS) + SETTLE_GRACE_MS;
    const body = {
      kind: 'claim_key' as const,
      key,
      digest,
      claimant: request.id,
      settleBy,
    };
    const result = await log
      .propose({at, body})
      .catch(err => this.failClaim(key, request, err));
    if (!result.ok) throw CellError.fromBody(result.error);
    if (result.value.kind !== 'key')
      throw new CellError({code: 'internal', step: 'claim-key'});
    return {record: result.value.record, isClaimed: result.value.claimed};
  }

  /** Fails a request whose claim was not confirmed; it has not been dispatched. */
  private failClaim(key: string, request: ClientRequest, err: unknown): never {
    const error = toCellError(err, 'claim-key');
    if (error.outcome === 'unknown')
      void this.settle(key, request, {kind: 'not_run'});
    throw new CellError({
      ...error.toBody(),
      detail: error.message,
      outcome: 'not_run',
    });
  }

  private async settle(
    key: string,
    request: ClientRequest,
    answer: KeyAnswer,
  ): Promise<void> {
    const {log, clock, onSettleFailure: onUnsettled} = this.options;
    try {
      await log.propose({
        at: clock.wall(),
        body: {kind: 'settle_key', key, claimant: request.id, answer},
      });
    } catch (err) {
      onUnsettled(toCellError(err, 'settle-key'));
    }
  }
}

const toKeyAnswer = ({status, headers, body}: UpstreamAnswer): KeyAnswer =>
  body.length > MAX_STORED_BYTES
    ? {kind: 'unknown'}
    : {
        kind: 'answered',
        status,
        contentType: headers['content-type'] ?? '',
        body,
      };

const replayAnswer = ({answer}: KeyRecord): UpstreamAnswer => {
  if (!answer)
    throw new CellError({code: 'key_in_progress', step: 'replay-answer'});
  if (answer.kind !== 'answered')
    throw new CellError({code: 'key_lost', step: 'replay-answer'});
  return {
    status: answer.status,
    headers: {'content-type': answer.contentType, [REPLAYED_HEADER]: 'true'},
    body: answer.body,
  };
};
