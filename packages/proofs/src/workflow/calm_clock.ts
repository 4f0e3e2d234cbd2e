/** When a world was last disturbed. */

/** Options of {@link CalmClock}. */
export interface CalmClockOptions {
  /** Virtual time, in ms. */
  readonly now: () => number;
  /** Whether something is disturbed now and goes on being so. */
  readonly isDisturbed: () => boolean;
}

/** Keeps the time of the last fault, repair or change of leader. */
export class CalmClock {
  private disturbedAt = 0;

  constructor(private readonly options: CalmClockOptions) {}

  /** Notes a disturbance that happens now. */
  disturb(): void {
    this.disturbedAt = this.options.now();
  }

  /** Notes whether something is disturbed now; called at short intervals. */
  observe(): void {
    if (this.options.isDisturbed()) this.disturb();
  }

  /** Virtual time since which all has been calm, in ms. */
  get calmSince(): number {
    return this.disturbedAt;
  }
}
