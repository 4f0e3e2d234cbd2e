/** Logs how the learned speeds of the workers are spread, while this VM leads. */
import type Logger from 'bunyan';
import type {SpeedSpread, WorkflowDb} from '@primrosewick/state';

/** Minimum time between two lines, in ms. */
export const SPEED_INTERVAL_MS = 10_000;

/** Logs and reports the spread at intervals, once any speed is known. */
export class SpeedLog {
  private notBefore = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly logger: Logger,
    private readonly db: Pick<WorkflowDb, 'estimates'>,
    private readonly onSpeeds?: (spread: SpeedSpread) => void,
  ) {}

  /** Logs the spread unless a line is too recent, at a monotonic time in ms. */
  note(now: number): void {
    const {speeds, durations} = this.db.estimates;
    const {spread} = speeds;
    if (spread.knownCount === 0 || now < this.notBefore) return;
    this.notBefore = now + SPEED_INTERVAL_MS;
    this.onSpeeds?.(spread);
    this.logger.info(
      {
        decision: 'speeds',
        isUneven: spread.isUneven,
        slowest: round(spread.slowest),
        fastest: round(spread.fastest),
        known: spread.knownCount,
        slow: spread.slowCount,
        fast: spread.fastCount,
        learnedTimes: durations.usedCount,
      },
      'learned speeds of workers, and kinds of steps with learned times',
    );
  }
}

const round = (speed: number): number => Math.round(100 * speed) / 100;
