/** Tells in bounded lines why steps wait. */
import type Logger from 'bunyan';
import {stepKey, type PlannedWait, type StepKey} from '@primrosewick/state';

/** Interval at which a lasting wait is told again, in ms. */
const TELL_AGAIN_MS = 2000;
/** Shortest time between two lines of one step, in ms. */
const MIN_INTERVAL_MS = 500;
/** Steps whose last told wait is remembered. */
const MAX_REMEMBERED = 5000;

interface ToldWait {
  readonly why: PlannedWait['why'];
  readonly at: number;
}

/** Lines for steps that wait, when the reason changes and then now and again. */
export class WaitLog {
  private readonly told = new Map<StepKey, ToldWait>();

  constructor(private readonly logger: Logger) {}

  /** Takes a wait of one pass, at a monotonic time in ms. */
  note({step, why, taskCount, candidateCount}: PlannedWait, now: number): void {
    const key = stepKey(step);
    const last = this.told.get(key);
    const silentMs = last?.why === why ? TELL_AGAIN_MS : MIN_INTERVAL_MS;
    if (last && now < last.at + silentMs) return;
    if (this.told.size > MAX_REMEMBERED) this.told.clear();
    this.told.set(key, {why, at: now});
    // Most waits are over before they are worth a line.
    if (!last) return;
    this.logger.info(
      {decision: 'wait', step: key, reason: why, taskCount, candidateCount},
      'tasks of a step wait',
    );
  }
}
