/** Detects a worker that has stopped answering before its orders time out. */

/** Time without an answer to an order after which a worker gets no further ones, in ms. */
const SUSPECT_MS = 250;

/** Monitors the orders in flight to one worker. */
export class ResponseMonitor {
  /** Monotonic time at which each order was sent, in ms, oldest first. */
  private readonly sentAt = new Map<number, number>();
  private nextId = 0;

  /**
   * Notes an order that is sent at a monotonic time in ms.
   * @returns a function to call once the order is answered or has failed.
   */
  begin(now: number): () => void {
    const id = this.nextId++;
    this.sentAt.set(id, now);
    return () => void this.sentAt.delete(id);
  }

  /** Whether an order has been in flight for longer than a healthy worker takes. */
  isSuspect(now: number): boolean {
    const [oldestAt] = this.sentAt.values();
    return oldestAt !== undefined && now > oldestAt + SUSPECT_MS;
  }
}
