/**
 * Measures, by queue, how the reads of this VM's replica lie around the ends of
 * workflows: how long before an end its caller was last told that the workflow
 * runs, and how long after it the caller first learns of it. Load pattern:
 * callers ask when they expect the end, and come back only after a pause.
 */
import type {WorkflowReplica} from '@primrosewick/coordination';
import type {WorkflowEnd, WorkflowId} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import type Logger from 'bunyan';
import {Counter, Histogram, type Registry} from 'prom-client';

/** Options of {@link ReadsAroundEnds}. */
export interface ReadsAroundEndsOptions {
  readonly replica: Pick<WorkflowReplica, 'ended' | 'isReady'>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly registry: Registry;
}

const TIME_BUCKETS_MS = [5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000];
/** Maximum number of workflows that are remembered, of either kind. */
const MAX_REMEMBERED = 5000;

/** A read that tells of a workflow as open this long before its end came too early, in ms. */
const JUST_BEFORE_MS = 100;
/** Minimum time between two summaries, in ms. */
const SUMMARY_INTERVAL_MS = 10_000;

/** Totals of one queue. */
interface QueueTotals {
  ends: number;
  /** Ends that were asked for in the last `JUST_BEFORE_MS` before them. */
  readJustBefore: number;
  /** Ends that a read has told, and the sum of the times until then, in ms. */
  told: number;
  toldAfterMs: number;
}

/** An end that no read of this replica has told yet. */
interface UntoldEnd {
  readonly queue: string;
  /** Monotonic time at which it was applied, in ms. */
  readonly at: number;
}

/** Relates the reads of one replica to the ends that it applies. */
export class ReadsAroundEnds {
  /** Monotonic time of the last read that found a workflow open, in ms. */
  private readonly foundOpenAt = new Map<WorkflowId, number>();
  private readonly untold = new Map<WorkflowId, UntoldEnd>();
  private readonly before: Histogram<'queue'>;
  private readonly after: Histogram<'queue'>;
  private readonly totals = new Map<string, QueueTotals>();
  private summaryDueAt: number;

  constructor(private readonly options: ReadsAroundEndsOptions) {
    const {replica, registry, clock} = options;
    this.summaryDueAt = clock.now() + SUMMARY_INTERVAL_MS;
    const shared = {
      labelNames: ['queue'] as const,
      buckets: TIME_BUCKETS_MS,
      registers: [registry],
    };
    this.before = new Histogram({
      name: 'primrosewick_read_before_end_ms',
      help: 'Time from the last read that told of a workflow as open to its end, by queue, in ms.',
      ...shared,
    });
    this.after = new Histogram({
      name: 'primrosewick_end_told_ms',
      help: 'Time from an end in the copy of this VM to the first read that tells it, by queue, in ms.',
      ...shared,
    });
    replica.ended.subscribe(end => this.noteEnd(end));
  }

  /** Notes a read that was answered from the replica. */
  noteRead(id: WorkflowId, isEnded: boolean): void {
    const now = this.options.clock.now();
    if (!isEnded) return remember(this.foundOpenAt, id, now);
    const end = this.untold.get(id);
    if (!end) return;
    this.untold.delete(id);
    const afterMs = now - end.at;
    this.after.observe({queue: end.queue}, afterMs);
    const totals = this.totalsOf(end.queue);
    totals.told++;
    totals.toldAfterMs += afterMs;
    this.logWhenDue(now);
  }

  private noteEnd({id, queue}: WorkflowEnd): void {
    const now = this.options.clock.now();
    const readAt = this.foundOpenAt.get(id);
    this.foundOpenAt.delete(id);
    // Records that are replayed from the data folder are not news.
    if (!this.options.replica.isReady) return;
    if (readAt !== undefined) this.before.observe({queue}, now - readAt);
    remember(this.untold, id, {queue, at: now});
    const totals = this.totalsOf(queue);
    totals.ends++;
    if (readAt !== undefined && now - readAt <= JUST_BEFORE_MS)
      totals.readJustBefore++;
  }

  private totalsOf(queue: string): QueueTotals {
    const known = this.totals.get(queue);
    if (known) return known;
    const totals = {ends: 0, readJustBefore: 0, told: 0, toldAfterMs: 0};
    this.totals.set(queue, totals);
    return totals;
  }

  /** Logs the totals since the start of this process, a line for each queue. */
  private logWhenDue(now: number): void {
    if (now < this.summaryDueAt) return;
    this.summaryDueAt = now + SUMMARY_INTERVAL_MS;
    for (const [queue, {toldAfterMs, ...counts}] of this.totals)
      this.options.logger.info(
        {
          change: 'reads_around_ends',
          queue,
          ...counts,
          toldAfterMs: Math.round(toldAfterMs),
        },
        'reads of the ends of workflows',
      );
  }
}

const remember = <T>(
  known: Map<WorkflowId, T>,
  id: WorkflowId,
  value: T,
): void => {
  if (known.size >= MAX_REMEMBERED) known.clear();
  known.set(id, value);
};

/**
 * @returns a function that counts ended workflows, and whether their end was in
 *   time by what their callers estimated.
 */
export const makeEndCounter = (
  registry: Registry,
): ((end: WorkflowEnd) => void) => {
  const ends = new Counter({
    name: 'primrosewick_workflows_ended_total',
    help: 'Workflows that ended while this VM led, by queue, outcome and whether the end met the objective.',
    labelNames: ['queue', 'outcome', 'in_time'],
    registers: [registry],
  });
  return ({queue, phase: outcome, endedAt, dueAt}) =>
    ends.inc({queue, outcome, in_time: String(endedAt <= dueAt)});
};
