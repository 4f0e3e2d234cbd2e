/** Lets concurrent reads share one quorum round that confirms this VM's leadership. */

/** Batches read-index rounds. */
export class ReadIndexBatcher {
  private next: Promise<number> | undefined;
  private running: Promise<number> | undefined;

  constructor(private readonly readIndex: () => Promise<number>) {}

  /** @returns the commit index of a round that began after the call. */
  read(): Promise<number> {
    if (!this.running) return this.begin();
    // The current round began before this read, so the read joins the next one.
    this.next ??= this.running.then(
      () => this.begin(),
      () => this.begin(),
    );
    return this.next;
  }

  private begin(): Promise<number> {
    this.next = undefined;
    const round = this.readIndex();
    this.running = round;
    const clear = (): void => {
      if (this.running === round) this.running = undefined;
    };
    round.then(clear, clear);
    return round;
  }
}
