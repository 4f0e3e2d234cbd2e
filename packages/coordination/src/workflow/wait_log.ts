/** Logs why steps wait, at a bounded rate. */
import type Logger from 'bunyan';
import {stepKey, type PlannedWait, type StepKey} from '@primrosewick/state';
import {QuarantineLog, type PassTimes} from './quarantine_log.js';

/** Interval at which a wait with an unchanged reason is logged again, in ms. */
const REPEAT_INTERVAL_MS = 2000;
/** Minimum time between two log lines of one step, in ms. */
const MIN_INTERVAL_MS = 500;
/** Number of remembered steps above which all are forgotten. */
const MAX_REMEMBERED = 5000;

interface LoggedWait {
  readonly why: PlannedWait['why'];
  readonly at: number;
}

/** Logs the wait of a step when its reason changes, and periodically after that. */
export class WaitLog {
  private readonly logged = new Map<StepKey, LoggedWait>();

  private readonly quarantine: QuarantineLog;

  constructor(private readonly logger: Logger) {
    this.quarantine = new QuarantineLog(logger);
  }

  /** Notes all waits of one pass. */
  notePass(waits: readonly PlannedWait[], times: PassTimes): void {
    for (const wait of waits) this.note(wait, times.now);
    this.quarantine.notePass(waits, times);
  }

  /** Notes a wait of one pass, at a monotonic time in ms. */
  note(wait: PlannedWait, now: number): void {
    const {step, why, taskCount, candidateCount, cap} = wait;
    const key = stepKey(step);
    const last = this.logged.get(key);
    const silentMs = last?.why === why ? REPEAT_INTERVAL_MS : MIN_INTERVAL_MS;
    if (last && now < last.at + silentMs) return;
    if (this.logged.size > MAX_REMEMBERED) this.logged.clear();
    this.logged.set(key, {why, at: now});
    // Most waits end too soon to be worth a line, so the first pass logs none.
    if (!last) return;
    this.logger.info(
      {
        decision: 'wait',
        step: key,
        reason: why,
        taskCount,
        candidateCount,
        ...cap,
      },
      'tasks of a step are waiting',
    );
  }
}
