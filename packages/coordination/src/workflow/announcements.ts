/**
 * Handles announcements of workers at any VM with a replica of the log. Load
 * pattern: hundreds of workers announce themselves every second or two, almost
 * always without changes; the leader only needs to know that they are alive.
 */
import type Logger from 'bunyan';
import type {Subscription} from 'rxjs';
import type {
  WorkerId,
  WorkerRegistration,
  WorkflowDb,
} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';

/** Options of an `AnnouncementRelay`. */
export interface AnnouncementRelayOptions {
  readonly db: WorkflowDb;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether the replica may be read and a leader is reachable. */
  readonly canAnswer: () => boolean;
  /** Age of the replica: time since the leader last reported its commit index, in ms. */
  readonly ageMs: () => number;
  /** Reports to the leader which workers have announced themselves. */
  readonly reportToLeader: (workers: readonly WorkerId[]) => Promise<void>;
}

/** Interval of the reports to the leader, in ms. */
const REPORT_INTERVAL_MS = 250;
/**
 * Maximum age of a replica for deciding that an announcement changes nothing, in
 * ms. A change that the replica lacks is found at the worker's next announcement.
 * A tighter limit would direct all calls to the leader just when it is lagging.
 */
const MAX_AGE_MS = 1000;
/** Time during which an announcement may still be reported to the leader, in ms. */
const REPORT_WITHIN_MS = 1500;
/** Maximum number of workers whose last announcement is remembered. */
const MAX_REMEMBERED_WORKERS = 4096;

/** Detects stale announcements by each worker's incarnation and sequence number. */
export class AnnouncementSequences {
  private readonly latest = new Map<
    WorkerId,
    {readonly bornAt: number; readonly sequence: number}
  >();

  /** Notes an announcement; @returns whether it is stale or a duplicate. */
  note({worker, bornAt, sequence}: WorkerRegistration): boolean {
    const last = this.latest.get(worker);
    const isStale =
      last !== undefined &&
      (last.bornAt > bornAt ||
        (last.bornAt === bornAt && last.sequence >= sequence));
    if (isStale) return true;
    if (this.latest.size >= MAX_REMEMBERED_WORKERS) this.latest.clear();
    this.latest.set(worker, {bornAt, sequence});
    return false;
  }

  /**
   * Drops a later incarnation than that of an announcement. Called when none is
   * registered: the later one, unless it left by its own word, never was.
   */
  forgetLater(
    {worker, bornAt}: WorkerRegistration,
    departed: WorkflowDb['departed'],
  ): void {
    const last = this.latest.get(worker);
    if (!last || last.bornAt <= bornAt) return;
    if (!departed.has({worker, bornAt: last.bornAt}))
      this.latest.delete(worker);
  }

  /** Accepts the next announcement of a worker, whatever its sequence number. */
  forget(worker: WorkerId): void {
    this.latest.delete(worker);
  }
}

/** Whether an announcement says something newer than the worker's record in the log. */
export const hasUnrecordedChanges = (
  db: WorkflowDb,
  report: WorkerRegistration,
): boolean => {
  const known = db.findIncarnation(report)?.report;
  if (!known) {
    const other = db.workers.get(report.worker)?.report;
    return !other || other.bornAt < report.bornAt;
  }
  if (report.sequence < known.sequence) return false;
  return (
    known.address !== report.address ||
    known.pool !== report.pool ||
    known.isDraining !== report.isDraining ||
    JSON.stringify([known.room, known.labels, known.rack]) !==
      JSON.stringify([report.room, report.labels, report.rack])
  );
};

/** Acknowledges announcements without changes, and reports them to the leader in batches. */
export class AnnouncementRelay {
  private readonly sequences = new AnnouncementSequences();
  /** Monotonic time of each announcement to report to the leader, in ms. */
  private announcedAt = new Map<WorkerId, number>();
  private timer: Subscription | undefined;

  constructor(private readonly options: AnnouncementRelayOptions) {}

  /** Starts the reports to the leader. */
  start(): void {
    this.timer = this.options.clock
      .every(REPORT_INTERVAL_MS)
      .subscribe(() => this.flush());
  }

  /** Stops the reports to the leader. */
  stop(): void {
    this.timer?.unsubscribe();
  }

  /** @returns whether the announcement is handled here; if not, it must go to the leader. */
  take(report: WorkerRegistration): boolean {
    const {db, canAnswer, ageMs, clock} = this.options;
    if (!canAnswer() || ageMs() > MAX_AGE_MS) return false;
    if (!db.findIncarnation(report) || hasUnrecordedChanges(db, report))
      return false;
    if (!this.sequences.note(report))
      this.announcedAt.set(report.worker, clock.now());
    return true;
  }

  private flush(): void {
    if (this.announcedAt.size === 0) return;
    const reported = this.announcedAt;
    this.announcedAt = new Map();
    this.options.reportToLeader([...reported.keys()]).catch((err: unknown) => {
      this.keep(reported);
      this.options.logger.info(
        {change: 'announcements_lost', count: reported.size, err: String(err)},
        'reporting announcements to the leader failed; retrying with the recent ones',
      );
    });
  }

  /** Queues unreported announcements again, unless they are old or superseded. */
  private keep(unreported: ReadonlyMap<WorkerId, number>): void {
    const now = this.options.clock.now();
    for (const [worker, at] of unreported)
      if (now < at + REPORT_WITHIN_MS && !this.announcedAt.has(worker))
        this.announcedAt.set(worker, at);
  }
}
