/**
 * Counts and logs the calls of clients that were not authenticated. Load
 * pattern: after a key is revoked, its clients go on polling at their full rate.
 */
import type {WorkflowReply, WorkflowRequest} from '@primrosewick/protocol';
import {
  toCellError,
  type CellError,
  type DenialCause,
} from '@primrosewick/state';
import {LogRateLimiter, type Clock} from '@primrosewick/transport';
import type Logger from 'bunyan';
import {Counter, type Registry} from 'prom-client';

/** Maximum number of lines per second. */
const LINES_PER_SECOND = 10;

/** Options of {@link AuthenticationLog}. */
export interface AuthenticationLogOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly registry: Registry;
}

/** Metrics and log of the authentication of one VM's clients. */
export class AuthenticationLog {
  private readonly budget = new LogRateLimiter(LINES_PER_SECOND, 1000);
  private readonly denied: Counter<'cause'>;
  private readonly unchecked: Counter;

  constructor(private readonly options: AuthenticationLogOptions) {
    const registers = [options.registry];
    this.denied = new Counter({
      name: 'primrosewick_unauthenticated_total',
      help: 'Calls of clients that were answered 401, by cause: missing or unknown key.',
      labelNames: ['cause'],
      registers,
    });
    this.unchecked = new Counter({
      name: 'primrosewick_unchecked_keys_total',
      help: 'Calls with a key that no VM could check in time, answered with a time to retry.',
      registers,
    });
  }

  /** Waits for the reply to a request, and notes if its caller was not authenticated. */
  async watch(
    request: WorkflowRequest,
    replied: Promise<WorkflowReply>,
  ): Promise<WorkflowReply> {
    try {
      const reply = await replied;
      if (reply.kind === 'unauthenticated')
        this.noteDenied(request, reply.version);
      return reply;
    } catch (thrown) {
      const err = toCellError(thrown, 'authenticate');
      if (request.credential !== undefined && isUnchecked(err))
        this.unchecked.inc();
      throw thrown;
    }
  }

  /** The key is not logged, nor its digest. */
  private noteDenied({path, credential}: WorkflowRequest, version: number) {
    const cause: DenialCause = credential === undefined ? 'missing' : 'unknown';
    this.denied.inc({cause});
    const {clock, logger} = this.options;
    const line = this.budget.take(clock.now());
    if (!line) return;
    logger.info(
      {decision: 'authenticate', req: path, outcome: cause, version, ...line},
      'call was not authenticated',
    );
  }
}

/** Whether no leader was reached that could have checked the key. */
const isUnchecked = ({code}: CellError): boolean =>
  code === 'log_unavailable' || code === 'not_leader' || code === 'starting';
