/**
 * Counts reads by how they were answered, and logs those that failed or were slow.
 * Load pattern: every client polls continually, so a read that was answered
 * quickly leaves no log line.
 */
import type {CellError, VmId} from '@primrosewick/state';
import {LogRateLimiter} from '@primrosewick/transport';
import type Logger from 'bunyan';
import {Counter, Histogram, type Registry} from 'prom-client';
import type {HeldCount} from './count_order.js';

/** Reasons for which a replica alone does not answer a read. */
export const LEADER_REASONS = [
  /** The workflow was cancelled through this VM a moment ago. */
  'cancelled_here',
  /** No contact with a serving leader recently, so the age of a replica is not known. */
  'no_contact',
  /** No replica is available. */
  'no_reader',
  /** The replica is older than an index reported by the leader or returned to a client. */
  'copy_behind',
  /** The replica has no recent contact to the leader, or does not know the workflow. */
  'copy_unsure',
  /** The VM with the replica did not answer. */
  'copy_failed',
] as const;

/**
 * How a read was answered: from a replica alone (`copy`), or for a reason by one
 * that confirmed it with the leader, or by the leader.
 */
export type ReadRoute = 'copy' | (typeof LEADER_REASONS)[number];

/** A read that has ended. */
export interface CompletedRead {
  readonly path: string;
  readonly way: ReadRoute;
  /** The VM whose replica was read. */
  readonly peer: VmId | null;
  /** Monotonic time at its end, in ms. */
  readonly endedAt: number;
  /** Time until its answer, without the wait for the end of its workflow, in ms. */
  readonly waitMs: number;
  /** Time for which a replica waited for the end of the workflow, in ms. */
  readonly blockedMs?: number;
  /** Time until a replica had answered or was given up on, in ms. */
  readonly copyMs: number;
  /** Whether a replica answered after it had reached a read index of the leader. */
  readonly isConfirmed?: boolean;
  readonly err?: CellError;
}

const READ_BUCKETS_MS = [2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000];
/** Duration from which an answered read is logged, in ms. */
const SLOW_READ_MS = 1000;
/** Minimum time between two summaries, in ms. */
const SUMMARY_INTERVAL_MS = 10_000;
/** Maximum log lines of single reads in a second. */
const LINES_PER_SECOND = 10;

/** Metrics and log of the reads of one VM's clients. */
export class ReadLog {
  private readonly reads: Counter<'source' | 'reason' | 'outcome'>;
  private readonly times: Histogram<'source'>;
  private readonly heldTimes: Histogram<'outcome'>;
  private readonly budget = new LogRateLimiter(LINES_PER_SECOND, 1000);
  private ways: Partial<Record<ReadRoute, number>> = {};
  private confirmed = 0;
  private failed = 0;
  private held = 0;
  private outdated = 0;
  private longestMs = 0;
  private lastSummaryAt: number | undefined;

  constructor(
    private readonly logger: Logger,
    registry: Registry,
  ) {
    const registers = [registry];
    this.reads = new Counter({
      name: 'primrosewick_reads_total',
      help: 'Questions of clients by who answered, why, and how they ended.',
      labelNames: ['source', 'reason', 'outcome'],
      registers,
    });
    this.times = new Histogram({
      name: 'primrosewick_read_ms',
      help: 'Time from a question of a client to its answer, by who answered, in ms.',
      labelNames: ['source'],
      buckets: READ_BUCKETS_MS,
      registers,
    });
    this.heldTimes = new Histogram({
      name: 'primrosewick_count_held_ms',
      help: 'Time for which the answer of a count waited for earlier counts, by whether it was still good, in ms.',
      labelNames: ['outcome'],
      buckets: READ_BUCKETS_MS,
      registers,
    });
  }

  /** Records a count whose answer waited for those of earlier counts. */
  recordHeld({heldMs, isOutdated}: HeldCount): void {
    this.heldTimes.observe({outcome: isOutdated ? 'outdated' : 'kept'}, heldMs);
    this.held++;
    if (isOutdated) this.outdated++;
  }

  /** Records a read that has ended. */
  record(read: CompletedRead): void {
    const {way, waitMs, err} = read;
    const source = sourceOf(read);
    const outcome = err ? 'failed' : 'answered';
    this.reads.inc({source, reason: way, outcome});
    this.times.observe({source}, waitMs);
    this.ways[way] = (this.ways[way] ?? 0) + 1;
    this.longestMs = Math.max(this.longestMs, waitMs);
    if (source === 'confirmed') this.confirmed++;
    if (err) this.failed++;
    if (err || waitMs >= SLOW_READ_MS) this.logRead(read);
    this.logSummaryWhenDue(read.endedAt);
  }

  private logRead({
    path,
    way,
    peer,
    endedAt,
    waitMs,
    copyMs,
    blockedMs = 0,
    isConfirmed = false,
    err,
  }: CompletedRead) {
    const line = this.budget.take(endedAt);
    if (!line) return;
    this.logger.info(
      {
        decision: 'read',
        req: path,
        outcome: err ? 'failed' : 'slow',
        way,
        peer,
        waitMs: Math.round(waitMs),
        copyMs: Math.round(copyMs),
        blockedMs: Math.round(blockedMs),
        isConfirmed,
        ...(err ? {err: err.toBody()} : {}),
        ...line,
      },
      'read failed or was slow',
    );
  }

  private logSummaryWhenDue(now: number): void {
    this.lastSummaryAt ??= now;
    const overMs = now - this.lastSummaryAt;
    if (overMs < SUMMARY_INTERVAL_MS) return;
    this.logger.info(
      {
        change: 'reads',
        ways: this.ways,
        confirmed: this.confirmed,
        failed: this.failed,
        held: this.held,
        outdated: this.outdated,
        longestMs: Math.round(this.longestMs),
        overMs: Math.round(overMs),
      },
      'summary of reads',
    );
    this.lastSummaryAt = now;
    this.ways = {};
    this.confirmed = 0;
    this.failed = 0;
    this.held = 0;
    this.outdated = 0;
    this.longestMs = 0;
  }
}

const sourceOf = ({
  way,
  isConfirmed = false,
}: CompletedRead): 'copy' | 'confirmed' | 'leader' => {
  if (way === 'copy') return 'copy';
  return isConfirmed ? 'confirmed' : 'leader';
};
