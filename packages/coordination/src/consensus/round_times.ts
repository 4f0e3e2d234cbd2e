/** When the last rounds of heartbeats were sent, so that their answers date a leadership. */

/** Rounds that are kept; an answer to an older one proves nothing of use. */
const MAX_ROUNDS = 64;

/** Times of the rounds of one leadership. */
export class RoundTimes {
  private readonly sentAt = new Map<number, number>();

  /** Notes that a round is sent, at a monotonic time in ms. */
  note(round: number, at: number): void {
    this.sentAt.set(round, at);
    this.sentAt.delete(round - MAX_ROUNDS);
  }

  /** Time at which a round was sent, in ms; long ago where it is not known. */
  sentTimeOf(round: number): number {
    return this.sentAt.get(round) ?? Number.NEGATIVE_INFINITY;
  }

  /** Forgets the rounds of an earlier leadership. */
  clear(): void {
    this.sentAt.clear();
  }
}
