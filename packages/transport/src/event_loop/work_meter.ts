/** Measures what the event loop of a process spends its time on. */

/** A kind of work that occupies the event loop. */
export type WorkKind =
  /** Passes of the scheduler. */
  | 'pass'
  /** Steps of the consensus core. */
  | 'consensus'
  /** Applying log records to the replica, with their immediate effects. */
  | 'record'
  /** `hello` calls of other VMs. */
  | 'greeting'
  /** Queries answered by a replica. */
  | 'question'
  /** Client calls to the leader. */
  | 'call'
  /** Announcements and removals of workers. */
  | 'announcement'
  /** Calls for advice. */
  | 'advice'
  /** Operators' changes and queries of the configuration. */
  | 'config'
  /** Encoding and decoding of frames between VMs and of log entries. */
  | 'frame'
  /** Sending of orders to workers, up to the handover to the network. */
  | 'order'
  /** Decoding of workers' responses. */
  | 'worker_answer'
  /** Serialization and buffering of log lines. */
  | 'line'
  /** Garbage collection; also included in the kinds that it interrupts. */
  | 'gc';

/** Total time by kind of work, in ms. */
export type WorkTimes = Readonly<Partial<Record<WorkKind, number>>>;

/** Sums the time by kind of work; nested work is not counted in the enclosing kind. */
export class WorkMeter {
  private readonly sums = new Map<WorkKind, number>();
  /** Time of work nested in the current one, in ms. */
  private innerMs = 0;

  constructor(private readonly now = (): number => performance.now()) {}

  /** Runs `act` and adds the time of its synchronous part, even if it throws. */
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

  /** Adds time to a kind, in ms. */
  add(kind: WorkKind, ms: number): void {
    this.sums.set(kind, (this.sums.get(kind) ?? 0) + ms);
  }

  /** Totals so far. */
  get times(): WorkTimes {
    return Object.fromEntries(this.sums);
  }
}

/**
 * @returns the time by kind between two readings, in whole ms; kinds with 0 ms
 * are omitted.
 */
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

/** Process-wide meter. */
export const workMeter = new WorkMeter();
