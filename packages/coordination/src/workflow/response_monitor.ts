/** Tells a worker that has stopped answering before its orders time out. */

/** Time without an answer to an order after which a worker gets no other, in ms. */
const SUSPECT_MS = 250;

/** The orders under way to one worker. */
export class ResponseMonitor {
  /** Monotonic time at which each order was sent, in ms, oldest first. */
  private readonly sentAt = new Map<number, number>();
  private nextId = 0;

  /**
   * Notes an order that is sent at a monotonic time in ms.
   * @returns what to call once it is answered or given up.
   */
  begin(now: number): () => void {
    const id = this.nextId++;
    this.sentAt.set(id, now);
    return () => void this.sentAt.delete(id);
  }

  /** Whether an order has been under way for longer than a sound worker takes. */
  isSuspect(now: number): boolean {
    const [oldestAt] = this.sentAt.values();
    return oldestAt !== undefined && now > oldestAt + SUSPECT_MS;
  }
}
