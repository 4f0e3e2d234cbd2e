/**
 * Takes the announcements of workers at any VM with a copy of the log. Load
 * pattern: hundreds of workers announce themselves every second or two, nearly
 * always with nothing new; the leader needs to hear only that they are there.
 */
import type Logger from 'bunyan';
import type {Subscription} from 'rxjs';
import type {
  WorkerId,
  WorkerRegistration,
  WorkflowDb,
} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';

/** Options of the desk. */
export interface AnnouncementRelayOptions {
  readonly db: WorkflowDb;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether the copy may be shown and a leader can be told. */
  readonly canAnswer: () => boolean;
  /** Age of the copy: time since the leader last told of its commits, in ms. */
  readonly ageMs: () => number;
  /** Tells the leader which workers have announced themselves. */
  readonly reportToLeader: (workers: readonly WorkerId[]) => Promise<void>;
}

/** Interval at which the leader is told, in ms. */
const REPORT_INTERVAL_MS = 250;
/**
 * Age up to which a copy may tell that an announcement holds nothing new, in ms:
 * what it may lack, the next announcement finds. All calls would go to the
 * leader otherwise just when the leader is late.
 */
const MAX_AGE_MS = 1000;
/** Time for which the leader may still be told of an announcement, in ms. */
const REPORT_WITHIN_MS = 1500;
/** Workers whose last announcement is remembered. */
const MAX_REMEMBERED_WORKERS = 4096;

/** Remembers the number of the last announcement of each life of a worker. */
export class AnnouncementSequences {
  private readonly latest = new Map<
    WorkerId,
    {readonly bornAt: number; readonly sequence: number}
  >();

  /** Notes an announcement; @returns whether a later one was noted before. */
  note({worker, bornAt, sequence}: WorkerRegistration): boolean {
    const last = this.latest.get(worker);
    const isOld =
      last !== undefined &&
      (last.bornAt > bornAt ||
        (last.bornAt === bornAt && last.sequence >= sequence));
    if (isOld) return true;
    if (this.latest.size >= MAX_REMEMBERED_WORKERS) this.latest.clear();
    this.latest.set(worker, {bornAt, sequence});
    return false;
  }

  /** Lets the next announcement of a worker count, whatever its number. */
  forget(worker: WorkerId): void {
    this.latest.delete(worker);
  }
}

/** Whether an announcement says what the log does not know. */
export const hasUnrecordedChanges = (
  db: WorkflowDb,
  report: WorkerRegistration,
): boolean => {
  const known = db.findIncarnation(report)?.report;
  if (!known) {
    const other = db.workers.get(report.worker)?.report;
    return !other || other.bornAt < report.bornAt;
  }
  return (
    known.address !== report.address ||
    known.pool !== report.pool ||
    known.isDraining !== report.isDraining ||
    JSON.stringify([known.room, known.labels, known.rack]) !==
      JSON.stringify([report.room, report.labels, report.rack])
  );
};

/** Answers announcements without news, and tells the leader of them together. */
export class AnnouncementRelay {
  private readonly sequences = new AnnouncementSequences();
  /** Monotonic time of announcements that the leader is to be told of, in ms. */
  private heardAt = new Map<WorkerId, number>();
  private timer: Subscription | undefined;

  constructor(private readonly options: AnnouncementRelayOptions) {}

  /** Begins to tell the leader. */
  start(): void {
    this.timer = this.options.clock
      .every(REPORT_INTERVAL_MS)
      .subscribe(() => this.flush());
  }

  /** Ends. */
  stop(): void {
    this.timer?.unsubscribe();
  }

  /** @returns whether nothing is left to be done for an announcement. */
  take(report: WorkerRegistration): boolean {
    const {db, canAnswer, ageMs, clock} = this.options;
    if (!canAnswer() || ageMs() > MAX_AGE_MS) return false;
    if (!db.findIncarnation(report) || hasUnrecordedChanges(db, report))
      return false;
    if (!this.sequences.note(report))
      this.heardAt.set(report.worker, clock.now());
    return true;
  }

  private flush(): void {
    if (this.heardAt.size === 0) return;
    const told = this.heardAt;
    this.heardAt = new Map();
    this.options.reportToLeader([...told.keys()]).catch((err: unknown) => {
      this.keep(told);
      this.options.logger.info(
        {change: 'announcements_lost', count: told.size, err: String(err)},
        'the leader was not told of announcements; it is told of recent ones again',
      );
    });
  }

  /** Keeps what the leader was not told of, unless it is old or was heard again. */
  private keep(untold: ReadonlyMap<WorkerId, number>): void {
    const now = this.options.clock.now();
    for (const [worker, at] of untold)
      if (now < at + REPORT_WITHIN_MS && !this.heardAt.has(worker))
        this.heardAt.set(worker, at);
  }
}
