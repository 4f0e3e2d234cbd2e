/** Sums up what the event loop of a process spends its time on. */

/** A kind of work that keeps the event loop. */
export type WorkKind =
  /** Passes of the planner. */
  | 'pass'
  /** Steps of the log's core. */
  | 'consensus'
  /** Records that the copy of the log takes in, and what follows at once. */
  | 'record'
  /** Greetings of other VMs. */
  | 'greeting'
  /** Questions that a copy answers. */
  | 'question'
  /** Clients' calls to the leader. */
  | 'call'
  /** Announcements of workers. */
  | 'announcement'
  /** Calls for advice. */
  | 'advice'
  /** Changes and questions of operators. */
  | 'config'
  /** Frames between VMs and entries of the log, encoded and decoded. */
  | 'frame'
  /** Orders to workers, until they are handed to the network. */
  | 'order'
  /** Answers of workers, decoded. */
  | 'worker_answer'
  /** Log lines. */
  | 'line'
  /** Garbage collection; it lies within the other kinds as well. */
  | 'gc';

/** Time of each kind of work, in ms. */
export type WorkTimes = Readonly<Partial<Record<WorkKind, number>>>;

/** Adds up the time of each kind; work within other work counts for itself alone. */
export class WorkMeter {
  private readonly sums = new Map<WorkKind, number>();
  /** Time of the work within the one that is under way, in ms. */
  private innerMs = 0;

  constructor(private readonly now = (): number => performance.now()) {}

  /** Does some work and notes how long it kept the event loop. */
  measure<T>(kind: WorkKind, act: () => T): T {
    const beganAt = this.now();
    const outerInnerMs = this.innerMs;
    this.innerMs = 0;
    try {
      return act();
    } finally {
      const tookMs = this.now() - beganAt;
      this.add(kind, Math.max(0, tookMs - this.innerMs));
      this.innerMs = outerInnerMs + tookMs;
    }
  }

  /** Adds a time in ms. */
  add(kind: WorkKind, ms: number): void {
    this.sums.set(kind, (this.sums.get(kind) ?? 0) + ms);
  }

  /** All times so far. */
  get times(): WorkTimes {
    return Object.fromEntries(this.sums);
  }
}

/** @returns the time of each kind between two looks, in whole ms; kinds without any are left out. */
export const diffWorkTimes = (
  before: WorkTimes,
  after: WorkTimes,
): WorkTimes => {
  const spent = Object.entries(after).map(([kind, ms]) => {
    const beforeMs = before[kind as WorkKind] ?? 0;
    return [kind, Math.round(ms - beforeMs)] as const;
  });
  return Object.fromEntries(spent.filter(([, ms]) => ms > 0));
};

/** The meter of this process. */
export const workMeter = new WorkMeter();
