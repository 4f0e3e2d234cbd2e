/** Spaces out the writes of a leader, so that proposals form larger batches. */
import type {Clock} from '@primrosewick/transport';

/** Shortest interval between the starts of two writes of a leader, in ms. */
const WRITE_INTERVAL_MS = 9;
/** Time in which a successor is elected and this node learns of it, in ms. */
const TRANSFER_MS = 300;

/** Decides when a leader may write its queued proposals. */
export class WriteSchedule {
  /** Earliest monotonic time at which the next write starts, in ms. */
  private nextWriteAt = Number.NEGATIVE_INFINITY;
  private isScheduled = false;

  /** @param onDue - called when proposals that had to wait may be written. */
  constructor(
    private readonly clock: Clock,
    private readonly onDue: () => void,
  ) {}

  /** Notes a write that started at a monotonic time, in ms. */
  noteWrite(startedAt: number): void {
    const nextAt = startedAt + WRITE_INTERVAL_MS;
    this.nextWriteAt = Math.max(this.nextWriteAt, nextAt);
  }

  /**
   * Holds proposals back while the leadership is handed over: voters refuse a
   * successor that lacks an entry which they have.
   */
  holdForTransfer(): void {
    this.nextWriteAt = this.clock.now() + TRANSFER_MS;
  }

  /**
   * Whether proposals may be written now; if not, `onDue` is called once they
   * may. A write costs a message to every follower, whatever its size. A proposal
   * after an idle time does not wait.
   */
  mayWrite(): boolean {
    const waitMs = this.nextWriteAt - this.clock.now();
    if (waitMs > 0) this.schedule(waitMs);
    return waitMs <= 0;
  }

  private schedule(waitMs: number): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.clock.after(waitMs).subscribe(() => {
      this.isScheduled = false;
      this.onDue();
    });
  }
}
