import type {Random} from '@primrosewick/state';
import type {EventQueue} from './event_queue.js';

/** Faults that the network injects. */
export interface NetworkFaults {
  /** Messages lost, in percent. */
  readonly lossPercent: number;
  /** Messages that arrive twice, in percent. */
  readonly duplicatePercent: number;
  /** Longest delay of a message, in ms; differing delays reorder messages. */
  readonly maxDelayMs: number;
}

/** A network without loss, duplicates or long delays. */
export const NO_FAULTS: NetworkFaults = {
  lossPercent: 0,
  duplicatePercent: 0,
  maxDelayMs: 8,
};

/**
 * Delivers messages between named endpoints, with loss, duplicates and delays.
 */
export class FakeNetwork {
  faults: NetworkFaults = NO_FAULTS;
  private readonly cuts = new Set<string>();

  constructor(
    private readonly queue: EventQueue,
    private readonly random: Random,
  ) {}

  /** Cuts the link in one direction. */
  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  /** Restores all links. */
  heal(): void {
    this.cuts.clear();
  }

  /** Whether a link is cut. */
  isCut(from: string, to: string): boolean {
    return this.cuts.has(`${from}>${to}`);
  }

  /**
   * Sends a message, which is lost if the link is cut when it is sent or
   * delivered.
   */
  send(from: string, to: string, deliver: () => void): void {
    this.sendOnce(from, to, deliver);
    if (this.chance(this.faults.duplicatePercent))
      this.sendOnce(from, to, deliver);
  }

  private sendOnce(from: string, to: string, deliver: () => void): void {
    if (this.isCut(from, to) || this.chance(this.faults.lossPercent)) return;
    const delayMs = this.random.nextInt(1, this.faults.maxDelayMs);
    this.queue.after(delayMs, () => {
      if (!this.isCut(from, to)) deliver();
    });
  }

  private chance(percent: number): boolean {
    return percent > 0 && this.random.nextInt(1, 100) <= percent;
  }
}
