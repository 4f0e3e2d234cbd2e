/** Lets concurrent reads share one quorum round that confirms the leadership. */
import {pause, type Clock} from '@primrosewick/transport';

/** Limit on the wait for a round that began before a read. */
export interface RoundPatience {
  readonly clock: Clock;
  /** Time from the start of a round to the start of the next one, at most, in ms. */
  readonly maxWaitMs: number;
}

/** Batches read-index rounds. */
export class ReadIndexBatcher {
  private next: Promise<number> | undefined;
  private running: Promise<number> | undefined;
  /** Resolves once the next round may begin beside the current one. */
  private overlap: Promise<void> | undefined;

  /** Without a patience, a round begins only after the end of the one before. */
  constructor(
    private readonly readIndex: () => Promise<number>,
    private readonly patience?: RoundPatience,
  ) {}

  /** @returns the commit index of a round that began after the call. */
  read(): Promise<number> {
    if (!this.running) return this.begin();
    // The current round began before this read, so the read joins the next one.
    const begin = (): Promise<number> => this.begin();
    const waits: Array<Promise<unknown>> = [this.running];
    if (this.overlap) waits.push(this.overlap);
    this.next ??= Promise.race(waits).then(begin, begin);
    return this.next;
  }

  private begin(): Promise<number> {
    this.next = undefined;
    const round = this.readIndex();
    this.running = round;
    this.overlap =
      this.patience && pause(this.patience.clock, this.patience.maxWaitMs);
    const clear = (): void => {
      if (this.running === round) this.running = undefined;
    };
    round.then(clear, clear);
    return round;
  }
}
