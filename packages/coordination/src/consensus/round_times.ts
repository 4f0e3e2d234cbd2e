/** Send times of the last heartbeat rounds, which date the confirmation of a leadership. */

/** Number of rounds kept; a reply to an older one is of no use as confirmation. */
const MAX_ROUNDS = 64;

/** Send times of the heartbeat rounds of one leadership. */
export class RoundTimes {
  private readonly sentAt = new Map<number, number>();

  /** Records the send time of a round, a monotonic time in ms. */
  record(round: number, at: number): void {
    this.sentAt.set(round, at);
    this.sentAt.delete(round - MAX_ROUNDS);
  }

  /** Send time of a round, in ms; minus infinity if it is not known. */
  sentTimeOf(round: number): number {
    return this.sentAt.get(round) ?? Number.NEGATIVE_INFINITY;
  }

  /** Discards the rounds of an earlier leadership. */
  clear(): void {
    this.sentAt.clear();
  }
}
