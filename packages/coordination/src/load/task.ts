/** Samples the event loop lag of a leader. */
import type {Subscription} from 'rxjs';
import type {Clock} from '@primrosewick/transport';
import {LOAD_SAMPLE_MS, LoadShedder, type LoadDecision} from './core.js';

/** Measures the event loop lag while this VM leads, and decides whether it accepts new work. */
export class LoadSheddingTask {
  private load: LoadShedder | undefined;
  private timer: Subscription | undefined;

  constructor(private readonly clock: Clock) {}

  /** Starts sampling with a fresh average. */
  start(): void {
    this.stop();
    const {clock} = this;
    const load = new LoadShedder(clock.now());
    this.load = load;
    this.timer = clock
      .every(LOAD_SAMPLE_MS)
      .subscribe(() => load.recordSample(clock.now()));
  }

  /** Stops sampling; a VM that does not lead rejects new work elsewhere. */
  stop(): void {
    this.timer?.unsubscribe();
    this.load = undefined;
  }

  /** Decides whether new work is accepted. */
  decide(): LoadDecision {
    return this.load?.decide() ?? {kind: 'take'};
  }
}
