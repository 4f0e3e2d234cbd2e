/**
 * Keeps the answers that show the bundle from going back: counts of queues are
 * answered in the order in which they arrived, and none from an older bundle
 * than one before it. Load pattern: a count that its replica is slow to answer
 * is answered late, from the state of that time, while another replica, or the
 * same one, answers those that arrived meanwhile at once.
 */
import type {WorkflowReply} from '@primrosewick/protocol';
import {CellError} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';

/** A count whose answer was held or not given. */
export interface HeldCount {
  /** Time for which its answer waited for those of earlier counts, in ms. */
  readonly heldMs: number;
  /** Whether its bundle was older by then than one that was shown. */
  readonly isOutdated: boolean;
}

/** Options of {@link CountOrder}. */
export interface CountOrderOptions {
  readonly clock: Clock;
  readonly onHeld: (held: HeldCount) => void;
}

/** How a count is answered. */
export interface CountReads {
  readonly read: () => Promise<WorkflowReply>;
  /** Reads a state that is no older than the call. */
  readonly readCurrent: () => Promise<WorkflowReply>;
  /** Monotonic time until which the answer may be held, in ms. */
  readonly deadline: number;
}

/** Answers the counts of one VM's clients in order. */
export class CountOrder {
  /** Number of counts without an answer. */
  private underWay = 0;
  /** Resolves once all counts that have arrived are answered. */
  private allAnswered: Promise<void> = Promise.resolve();
  /** Highest version of a bundle that an answer has shown. */
  private shownVersion = 0;

  constructor(private readonly options: CountOrderOptions) {}

  /**
   * Answers a count that arrives now.
   * @throws CellError from the reads, or `log_unavailable` if an earlier count
   *   is still without an answer at the deadline.
   */
  async answer(reads: CountReads): Promise<WorkflowReply> {
    const earlier = this.underWay > 0 ? this.allAnswered : undefined;
    const end = this.begin();
    try {
      const reply = await this.readInOrder(reads, earlier);
      this.shownVersion = Math.max(this.shownVersion, versionOf(reply) ?? 0);
      return reply;
    } finally {
      end();
    }
  }

  /** Makes later counts wait until the end that is returned is called. */
  private begin(): () => void {
    const earlier = this.allAnswered;
    this.underWay++;
    let resolveOwn = (): void => undefined;
    const own = new Promise<void>(resolve => (resolveOwn = resolve));
    this.allAnswered = earlier.then(() => own);
    return () => {
      this.underWay--;
      resolveOwn();
    };
  }

  private async readInOrder(
    {read, readCurrent, deadline}: CountReads,
    earlier: Promise<void> | undefined,
  ): Promise<WorkflowReply> {
    const reply = await read();
    const readAt = this.options.clock.now();
    if (earlier) await this.untilAnswered(earlier, deadline);
    const heldMs = this.options.clock.now() - readAt;
    const isOutdated = this.isOutdated(reply);
    if (earlier || isOutdated) this.options.onHeld({heldMs, isOutdated});
    return isOutdated ? readCurrent() : reply;
  }

  private untilAnswered(
    earlier: Promise<void>,
    deadline: number,
  ): Promise<void> {
    const {clock} = this.options;
    const leftMs = Math.max(0, deadline - clock.now());
    return new Promise((resolve, reject) => {
      const timer = clock.after(leftMs).subscribe(() => reject(notInTime()));
      void earlier.then(() => {
        timer.unsubscribe();
        resolve();
      });
    });
  }

  /** Whether an answer shows an older bundle; one of an earlier release does not tell. */
  private isOutdated(reply: WorkflowReply): boolean {
    const version = versionOf(reply);
    return version !== undefined && version < this.shownVersion;
  }
}

const notInTime = (): CellError =>
  new CellError({
    code: 'log_unavailable',
    step: 'count',
    detail: 'an earlier count is not answered yet',
  });

/** Version of the bundle that an answer shows. */
const versionOf = (reply: WorkflowReply): number | undefined => {
  switch (reply.kind) {
    case 'pending':
    case 'unknown_queue':
    case 'unauthenticated':
      return reply.version;
    case 'accepted':
    case 'state':
    case 'cancelled':
    case 'unknown_workflow':
      return undefined;
  }
};
