/** Measures the records of a leader, decides about its submissions, and reports both. */
import {seededRandom, type QueueName} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import type Logger from 'bunyan';
import type {Subscription} from 'rxjs';
import {RecordLoad, type RecordDecision} from './core.js';

/** Interval of log lines about the time of records, in ms. */
const REPORT_INTERVAL_MS = 2000;
/** Queues whose refusals one line names; those with the most go first. */
const MAX_QUEUES_LOGGED = 10;
/** Steps of the random spread. */
const SPREAD_STEPS = 1000;

/** Options of {@link RecordLoadTask}. */
export interface RecordLoadOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Seed of the spread of the times at which refused clients return. */
  readonly seed: number;
  /** Called with the time that a record took, in ms. */
  readonly onRecorded?: (tookMs: number) => void;
  /** Called for each submission that is refused. */
  readonly onRefused?: (queue: QueueName) => void;
}

/** A submission for which admission is asked. */
export interface AskedSubmission {
  readonly queue: QueueName;
  readonly priority: number;
  /** Submissions that are proposed and not applied yet. */
  readonly inFlight: number;
  /** Monotonic time until which its caller waits, in ms. */
  readonly deadline: number;
}

/** Measures records while this VM leads, and decides whether it accepts a submission. */
export class RecordLoadTask {
  private load: RecordLoad | undefined;
  private timer: Subscription | undefined;
  private readonly random;
  private readonly refused = new Map<QueueName, number>();
  private recorded = 0;
  private inFlight = 0;

  constructor(private readonly options: RecordLoadOptions) {
    this.random = seededRandom(options.seed);
  }

  /** Starts measuring anew, for one leadership. */
  start(): void {
    this.stop();
    const {clock} = this.options;
    this.load = new RecordLoad(clock.now());
    this.timer = clock.every(REPORT_INTERVAL_MS).subscribe(() => this.report());
  }

  /** Stops measuring; a VM that does not lead has no records of its own. */
  stop(): void {
    this.timer?.unsubscribe();
    this.load = undefined;
    this.recorded = 0;
    this.refused.clear();
  }

  /** Measures a record from its proposal until it is applied. */
  async watch<T>(propose: () => Promise<T>): Promise<T> {
    const {clock, onRecorded} = this.options;
    const {load} = this;
    const record = load?.begin(clock.now());
    try {
      const result = await propose();
      if (record) {
        load?.end(record, clock.now());
        this.recorded++;
        onRecorded?.(clock.now() - record.proposedAt);
      }
      return result;
    } catch (err) {
      if (record) load?.abandon(record);
      throw err;
    }
  }

  /** Decides whether a submission is accepted. */
  decide({queue, ...asked}: AskedSubmission): RecordDecision {
    if (!this.load) return {kind: 'take'};
    const now = this.options.clock.now();
    const spread = this.random.nextInt(0, SPREAD_STEPS) / SPREAD_STEPS;
    const decision = this.load.decide({...asked, now, spread});
    this.inFlight = asked.inFlight;
    if (decision.kind === 'refuse') this.noteRefused(queue);
    return decision;
  }

  private noteRefused(queue: QueueName): void {
    this.refused.set(queue, (this.refused.get(queue) ?? 0) + 1);
    this.options.onRefused?.(queue);
  }

  private report(): void {
    const {clock, logger} = this.options;
    const state = this.load?.stateAt(clock.now());
    if (!state || (this.recorded === 0 && state.pendingRecords === 0)) return;
    const queues = [...this.refused].sort(([, a], [, b]) => b - a);
    const total = queues.reduce((sum, [, count]) => sum + count, 0);
    logger.info(
      {
        change: 'record_load',
        ...state,
        recorded: this.recorded,
        inFlight: this.inFlight,
        refused: total,
        refusedOf: Object.fromEntries(queues.slice(0, MAX_QUEUES_LOGGED)),
      },
      'time of the records of the log, and submissions refused for it',
    );
    this.recorded = 0;
    this.refused.clear();
  }
}
