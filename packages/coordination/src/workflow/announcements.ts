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
export interface AnnouncementDeskOptions {
  readonly db: WorkflowDb;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether the copy is fresh and a leader can be told. */
  readonly canAnswer: () => boolean;
  /** Tells the leader which workers have announced themselves. */
  readonly tell: (workers: readonly WorkerId[]) => Promise<void>;
}

/** Interval at which the leader is told, in ms. */
const TELL_INTERVAL_MS = 250;
/** Workers whose last announcement is remembered. */
const LATEST_KEPT = 4096;

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
    if (this.latest.size >= LATEST_KEPT) this.latest.clear();
    this.latest.set(worker, {bornAt, sequence});
    return false;
  }

  /** Lets the next announcement of a worker count, whatever its number. */
  forget(worker: WorkerId): void {
    this.latest.delete(worker);
  }
}

/** Whether an announcement says what the log does not know. */
export const isNews = (db: WorkflowDb, report: WorkerRegistration): boolean => {
  const known = db.findLife(report)?.report;
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
export class AnnouncementDesk {
  private readonly sequences = new AnnouncementSequences();
  private heard = new Set<WorkerId>();
  private timer: Subscription | undefined;

  constructor(private readonly options: AnnouncementDeskOptions) {}

  /** Begins to tell the leader. */
  start(): void {
    this.timer = this.options.clock
      .every(TELL_INTERVAL_MS)
      .subscribe(() => this.tell());
  }

  /** Ends. */
  stop(): void {
    this.timer?.unsubscribe();
  }

  /** @returns whether nothing is left to be done for an announcement. */
  take(report: WorkerRegistration): boolean {
    const {db, canAnswer} = this.options;
    if (!canAnswer() || !db.findLife(report) || isNews(db, report))
      return false;
    if (!this.sequences.note(report)) this.heard.add(report.worker);
    return true;
  }

  private tell(): void {
    if (this.heard.size === 0) return;
    const workers = [...this.heard];
    this.heard = new Set();
    this.options.tell(workers).catch((err: unknown) =>
      this.options.logger.info(
        {
          change: 'announcements_lost',
          count: workers.length,
          err: String(err),
        },
        'the leader was not told of announcements; the workers repeat them',
      ),
    );
  }
}
