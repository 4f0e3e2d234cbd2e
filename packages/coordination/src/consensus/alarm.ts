import type {Clock} from '@primrosewick/transport';

/** A timer that is set at most once at a time. */
export class Alarm {
  private isSet = false;

  constructor(
    private readonly clock: Clock,
    private readonly act: () => void,
  ) {}

  /** Acts after a time in ms, unless it is set already. */
  setIn(ms: number): void {
    if (this.isSet) return;
    this.isSet = true;
    this.clock.after(Math.max(0, ms)).subscribe(() => {
      this.isSet = false;
      this.act();
    });
  }
}
