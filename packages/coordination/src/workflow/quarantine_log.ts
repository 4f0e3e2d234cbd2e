/** Logs what suspects wait for, at a bounded rate. */
import type Logger from 'bunyan';
import {stepKey, type PlannedWait, type SuspectWait} from '@primrosewick/state';

/** Minimum time between two log lines, in ms. */
const INTERVAL_MS = 1000;

type WaitingSuspect = PlannedWait & {readonly suspect: SuspectWait};

/** Times of a pass. */
export interface PassTimes {
  /** Monotonic time, in ms. */
  readonly now: number;
  /** Wall time, in ms since 1970. */
  readonly wall: number;
}

/** Logs one line when suspects begin to wait, further ones meanwhile, and the end. */
export class QuarantineLog {
  /** Monotonic time at which they began to wait, in ms. */
  private beganAt: number | undefined;
  /** Monotonic time of the last line, in ms. */
  private loggedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly logger: Logger) {}

  /** Notes all waits of one pass. */
  notePass(waits: readonly PlannedWait[], {now, wall}: PassTimes): void {
    const waiting = waits.filter(isSuspect);
    const [first, ...others] = waiting;
    if (!first) return this.end(now);
    this.beganAt ??= now;
    if (now < this.loggedAt + INTERVAL_MS) return;
    this.loggedAt = now;
    const oldest = others.reduce(
      (best, wait) => (wait.suspect.since < best.suspect.since ? wait : best),
      first,
    );
    this.logger.info(
      {
        change: 'quarantine',
        waiting: waiting.reduce((sum, wait) => sum + wait.taskCount, 0),
        knownSuspects: oldest.suspect.suspectCount,
        ...lineOf(oldest, wall),
      },
      'suspects wait for a quiet worker',
    );
  }

  private end(now: number): void {
    if (this.beganAt === undefined) return;
    const lastedMs = Math.round(now - this.beganAt);
    this.beganAt = undefined;
    if (now < this.loggedAt + INTERVAL_MS) return;
    this.loggedAt = now;
    this.logger.info(
      {change: 'quarantine', waiting: 0, lastedMs},
      'no suspect waits any more',
    );
  }
}

const isSuspect = (wait: PlannedWait): wait is WaitingSuspect =>
  wait.suspect !== undefined;

/** The suspect that has waited the longest, and what ends its wait. */
const lineOf = (
  {step, candidateCount, suspect: {since, quietAt}}: WaitingSuspect,
  wall: number,
) => ({
  oldest: stepKey(step),
  oldestMs: Math.round(wall - since),
  freeWorkers: candidateCount,
  endsBy: quietAt === undefined ? 'room' : 'quiet_worker',
  ...(quietAt !== undefined && {endsInMs: Math.round(quietAt - wall)}),
});
