/** Samples how late a leader is with its work. */
import type {Subscription} from 'rxjs';
import type {Clock} from '@primrosewick/transport';
import {LOAD_SAMPLE_MS, LoadShedder, type LoadDecision} from './core.js';

/** Watches the event loop while this VM leads. */
export class LoadSheddingTask {
  private load: LoadShedder | undefined;
  private timer: Subscription | undefined;

  constructor(private readonly clock: Clock) {}

  /** Begins to sample anew. */
  start(): void {
    this.stop();
    const {clock} = this;
    const load = new LoadShedder(clock.now());
    this.load = load;
    this.timer = clock
      .every(LOAD_SAMPLE_MS)
      .subscribe(() => load.recordSample(clock.now()));
  }

  /** Ends; new work is refused for other reasons from now on. */
  stop(): void {
    this.timer?.unsubscribe();
    this.load = undefined;
  }

  /** Decides about new work. */
  decide(): LoadDecision {
    return this.load?.decide() ?? {kind: 'take'};
  }
}
