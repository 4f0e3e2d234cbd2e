/** Logs which kinds of tasks are known to slow each other down, while this VM leads. */
import type Logger from 'bunyan';
import type {WorkflowDb} from '@primrosewick/state';

/** Minimum time between two lines, in ms. */
export const INTERFERENCE_INTERVAL_MS = 10_000;
/** Pairs that are named in a line. */
const MAX_NAMED = 5;

/** Pairs of kinds that are known, and those that placement considers. */
export interface InterferenceCounts {
  readonly known: number;
  readonly counting: number;
}

/** Logs and reports the pairs at intervals, while any count and once after. */
export class InterferenceLog {
  private notBefore = Number.NEGATIVE_INFINITY;
  private hadPairs = false;

  constructor(
    private readonly logger: Logger,
    private readonly db: Pick<WorkflowDb, 'interference'>,
    private readonly onInterference?: (counts: InterferenceCounts) => void,
  ) {}

  /** Logs the pairs unless a line is too recent; times in ms, `wall` since 1970. */
  note(now: number, wall: number): void {
    const {pairs} = this.db.interference;
    if (pairs.size === 0 || now < this.notBefore) return;
    this.notBefore = now + INTERFERENCE_INTERVAL_MS;
    const counting = pairs.inForce(wall);
    this.onInterference?.({known: pairs.size, counting: counting.length});
    const isNews = counting.length > 0 || this.hadPairs;
    this.hadPairs = counting.length > 0;
    if (!isNews) return;
    const worst = counting
      .sort((a, b) => b[2].mean - a[2].mean)
      .slice(0, MAX_NAMED)
      .map(([victim, neighbour, {mean, weight}]) => ({
        victim,
        neighbour,
        ratio: round(Math.exp(mean)),
        ends: round(weight),
      }));
    this.logger.info(
      {
        decision: 'interference',
        known: pairs.size,
        counting: counting.length,
        worst,
      },
      'kinds of tasks that slow each other down on one worker',
    );
  }
}

const round = (value: number): number => Math.round(100 * value) / 100;
