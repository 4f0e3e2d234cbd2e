/** What an upstream keeps track of: its slots, and what runs in them. */
import type {HolderId} from '@primrosewick/state';

/** One request under way. */
export interface RunningRequest {
  readonly attempt: string;
  readonly holder: HolderId;
  /** Ends the request early. */
  readonly abort: () => void;
}

/** Counts of an upstream since its start. */
export interface UpstreamCounts {
  readonly served: number;
  readonly mostAtOnce: number;
  readonly overSlots: number;
  readonly refusedWhileLeaving: number;
}

const MAX_ENDED_KEPT = 10_000;

/** Slots of one upstream. */
export class UpstreamCore {
  private readonly running = new Map<string, RunningRequest>();
  private readonly endedEarly = new Set<string>();
  private served = 0;
  private mostAtOnce = 0;
  private overSlots = 0;
  private refused = 0;
  private seq = 0;
  /** Whether the upstream takes no new requests. */
  isLeaving = false;

  constructor(readonly slots: number) {}

  /**
   * Takes a request in.
   * @returns whether it may run; one that was ended before it came may not.
   */
  begin(request: RunningRequest): boolean {
    if (this.endedEarly.has(request.attempt)) return false;
    this.running.set(request.attempt, request);
    this.mostAtOnce = Math.max(this.mostAtOnce, this.running.size);
    if (this.running.size > this.slots) this.overSlots++;
    return true;
  }

  /** Ends a request. */
  end(attempt: string): void {
    if (this.running.delete(attempt)) this.served++;
  }

  /** Ends a request early. */
  abort(attempt: string): void {
    this.addEnded(attempt);
    const request = this.running.get(attempt);
    this.running.delete(attempt);
    request?.abort();
  }

  /** The order to end an attempt may overtake the attempt itself. */
  private addEnded(attempt: string): void {
    this.endedEarly.add(attempt);
    if (this.endedEarly.size <= MAX_ENDED_KEPT) return;
    const [oldest] = this.endedEarly;
    if (oldest !== undefined) this.endedEarly.delete(oldest);
  }

  /** Counts a request that came while the upstream was leaving. */
  addRefusal(): void {
    this.refused++;
  }

  /** Requests under way. */
  get size(): number {
    return this.running.size;
  }

  /** Number of the next announcement. */
  nextSeq(): number {
    return ++this.seq;
  }

  /** Requests in flight by holder. */
  inFlight(): Array<{holder: HolderId; requests: number}> {
    const counts = new Map<HolderId, number>();
    for (const {holder} of this.running.values())
      counts.set(holder, (counts.get(holder) ?? 0) + 1);
    return [...counts].map(([holder, requests]) => ({holder, requests}));
  }

  /** Counts since the start. */
  counts(): UpstreamCounts {
    const {served, mostAtOnce, overSlots, refused} = this;
    return {served, mostAtOnce, overSlots, refusedWhileLeaving: refused};
  }
}
