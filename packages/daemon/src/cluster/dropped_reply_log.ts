/** Logs answers to clients' calls that could not be delivered. */
import type Logger from 'bunyan';
import type {QueueAddress} from '@primrosewick/protocol';
import {
  LogRateLimiter,
  type Clock,
  type DroppedReply,
} from '@primrosewick/transport';

/** Maximum log lines in a second. */
const LINES_PER_SECOND = 10;

/** Rate-limited log of dropped answers. */
export class DroppedReplyLog {
  private readonly budget = new LogRateLimiter(LINES_PER_SECOND, 1000);

  constructor(
    private readonly logger: Logger,
    private readonly clock: Clock,
  ) {}

  /** Logs that the stream of the calling VM closed before its answer was ready. */
  logDrop({method, from, body, tookMs}: DroppedReply): void {
    if (method !== 'workflow' && method !== 'readWorkflow') return;
    const line = this.budget.take(this.clock.now());
    if (!line) return;
    const {path} = body as QueueAddress;
    this.logger.info(
      {
        decision: 'drop',
        req: path,
        method,
        peer: from,
        waitMs: Math.round(tookMs),
        ...line,
      },
      'answer dropped: the stream of the calling VM is closed',
    );
  }
}
