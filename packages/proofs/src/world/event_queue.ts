/**
 * Discrete events on virtual time, ordered by due time and then by insertion.
 */

interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Binary heap of events with the virtual clock that they advance. */
export class EventQueue {
  private readonly heap: ScheduledEvent[] = [];
  private count = 0;
  /** Virtual time, in ms. */
  now = 0;

  /** Schedules a callback after a delay. */
  after(delayMs: number, run: () => void): void {
    this.push({at: this.now + delayMs, order: this.count++, run});
  }

  /** Runs all events due within a time and advances the clock by it. */
  advance(byMs: number): void {
    const until = this.now + byMs;
    for (
      let next = this.heap[0];
      next && next.at <= until;
      next = this.heap[0]
    ) {
      this.pop();
      this.now = next.at;
      next.run();
    }
    this.now = until;
  }

  /**
   * Like `advance`, but lets promises settle before the first and after each
   * event.
   */
  async advanceAsync(byMs: number): Promise<void> {
    const until = this.now + byMs;
    await settlePromises();
    for (
      let next = this.heap[0];
      next && next.at <= until;
      next = this.heap[0]
    ) {
      this.pop();
      this.now = next.at;
      next.run();
      await settlePromises();
    }
    this.now = until;
  }

  private push(item: ScheduledEvent): void {
    let at = this.heap.length;
    this.heap.push(item);
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (isBefore(this.heap[parent]!, item)) break;
      this.heap[at] = this.heap[parent]!;
      at = parent;
    }
    this.heap[at] = item;
  }

  private pop(): void {
    const last = this.heap.pop()!;
    if (this.heap.length === 0) return;
    let at = 0;
    for (;;) {
      const child = this.smallerChild(at);
      if (child === undefined || isBefore(last, this.heap[child]!)) break;
      this.heap[at] = this.heap[child]!;
      at = child;
    }
    this.heap[at] = last;
  }

  private smallerChild(at: number): number | undefined {
    const left = 2 * at + 1;
    if (left >= this.heap.length) return undefined;
    const right = left + 1;
    if (right >= this.heap.length) return left;
    return isBefore(this.heap[left]!, this.heap[right]!) ? left : right;
  }
}

/**
 * Waits for the next macrotask, so that all queued promise callbacks have run.
 */
const settlePromises = (): Promise<void> =>
  new Promise(resolve => setImmediate(resolve));

const isBefore = (a: ScheduledEvent, b: ScheduledEvent): boolean =>
  a.at < b.at || (a.at === b.at && a.order < b.order);
