/** Lets reads that arrive together share one proof that this VM still leads. */

/** Shares index reads. */
export class ReadIndexBatcher {
  private next: Promise<number> | undefined;
  private running: Promise<number> | undefined;

  constructor(private readonly readIndex: () => Promise<number>) {}

  /** @returns an index that was committed after the call began. */
  read(): Promise<number> {
    if (!this.running) return this.begin();
    // The round under way may have begun before this read, so it joins the next.
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
