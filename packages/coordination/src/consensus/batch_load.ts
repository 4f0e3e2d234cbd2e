/**
 * Sums up what the batches of one node's log cost it: a batch handles all inputs
 * that waited, and nothing else is sent until its write is on disk.
 */

/** Cost of the batches since the last report. */
export interface BatchCost {
  readonly batches: number;
  readonly writes: number;
  /** Time for which batches waited for their writes, in ms. */
  readonly writtenMs: number;
  readonly longestWriteMs: number;
  /** Longest wait of the first input of a batch for the batch, in ms. */
  readonly longestWaitMs: number;
  /** Longest time between two rounds of messages to the followers, in ms. */
  readonly longestSilenceMs: number;
}

/** Aggregates the cost of batches. */
export class BatchLoad {
  private batches = 0;
  private writes = 0;
  private writtenMs = 0;
  private longestWriteMs = 0;
  private longestWaitMs = 0;
  private longestSilenceMs = 0;
  private sentAt: number | undefined;

  /** Notes a batch whose first input has waited for a time in ms. */
  noteBatch(waitMs: number): void {
    this.batches++;
    this.longestWaitMs = Math.max(this.longestWaitMs, waitMs);
  }

  /** Notes a write. */
  noteWrite(tookMs: number): void {
    this.writes++;
    this.writtenMs += tookMs;
    this.longestWriteMs = Math.max(this.longestWriteMs, tookMs);
  }

  /** Notes that appends were sent at a monotonic time in ms. */
  noteSent(now: number): void {
    const silentMs = now - (this.sentAt ?? now);
    this.longestSilenceMs = Math.max(this.longestSilenceMs, silentMs);
    this.sentAt = now;
  }

  /** Notes that this node sends no appends for now, because it does not lead. */
  forgetSilence(): void {
    this.sentAt = undefined;
  }

  /** Returns the cost since the last call; null if there were no batches. */
  take(): BatchCost | null {
    if (this.batches === 0) return null;
    const cost: BatchCost = {
      batches: this.batches,
      writes: this.writes,
      writtenMs: Math.round(this.writtenMs),
      longestWriteMs: Math.round(this.longestWriteMs),
      longestWaitMs: Math.round(this.longestWaitMs),
      longestSilenceMs: Math.round(this.longestSilenceMs),
    };
    this.batches = 0;
    this.writes = 0;
    this.writtenMs = 0;
    this.longestWriteMs = 0;
    this.longestWaitMs = 0;
    this.longestSilenceMs = 0;
    return cost;
  }
}
