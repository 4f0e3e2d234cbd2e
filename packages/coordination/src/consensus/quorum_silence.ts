/**
 * Measures for how long a leader has heard no quorum while it was reading. Load
 * pattern: turns of the event loop that take longer than an election, in which
 * the replies of live followers wait unread; taken for silence, they would end
 * the leadership and leave the same load to a successor that is cold.
 */
import type {ConsensusTiming} from './types.js';

/** Election timeouts without a reply after which the quorum is silent in any case. */
const MAX_SILENT_TIMEOUTS = 3;

/** Silence of the quorum of one leader. */
export class QuorumSilence {
  private tickedAt = Number.NEGATIVE_INFINITY;
  private contactAt = Number.NEGATIVE_INFINITY;
  private silentMs = 0;

  constructor(private readonly timing: ConsensusTiming) {}

  /** Starts at a time in ms. */
  start(now: number): void {
    this.tickedAt = now;
    this.contactAt = now;
    this.silentMs = 0;
  }

  /** Notes a tick, and the time of the last contact with a quorum, in ms. */
  note(now: number, contactAt: number): void {
    const hasReplied = contactAt > this.contactAt;
    const since = hasReplied ? contactAt : this.tickedAt;
    this.silentMs =
      (hasReplied ? 0 : this.silentMs) + this.countedMs(now - since);
    this.tickedAt = now;
    this.contactAt = contactAt;
    const maxMs = MAX_SILENT_TIMEOUTS * this.timing.electionMs;
    if (now - contactAt >= maxMs) this.silentMs = now - contactAt;
  }

  /**
   * Part of the time since the last tick or reply, in ms, for which nothing was
   * there to be read; after two election timeouts the followers have elected another leader.
   */
  private countedMs(elapsedMs: number): number {
    const {heartbeatMs, electionMs} = this.timing;
    return elapsedMs >= 2 * electionMs
      ? elapsedMs
      : Math.min(elapsedMs, heartbeatMs);
  }

  /** Length of the silence, in ms. */
  get lengthMs(): number {
    return this.silentMs;
  }
}
