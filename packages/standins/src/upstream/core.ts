/** Bookkeeping of an upstream: its slots and the requests that occupy them. */
import type {HolderId} from '@primrosewick/state';

/** One request in flight. */
export interface RunningRequest {
  readonly attempt: string;
  readonly holder: HolderId;
  /** Aborts the request. */
  readonly abort: () => void;
}

/** Counters of an upstream since its start. */
export interface UpstreamCounts {
  readonly served: number;
  readonly mostAtOnce: number;
  readonly overSlots: number;
  readonly refusedWhileLeaving: number;
}

const MAX_REMEMBERED_ABORTS = 10_000;

/** Slots of one upstream. */
export class UpstreamCore {
  private readonly running = new Map<string, RunningRequest>();
  private readonly abortedAttempts = new Set<string>();
  private served = 0;
  private mostAtOnce = 0;
  private overSlots = 0;
  private refused = 0;
  private seq = 0;
  /** Whether the upstream announces that it is leaving, and so gets no new requests. */
  isLeaving = false;

  constructor(readonly slots: number) {}

  /**
   * Accepts a request, unless its attempt was aborted before it arrived.
   * @returns whether the request may run.
   */
  begin(request: RunningRequest): boolean {
    if (this.abortedAttempts.has(request.attempt)) return false;
    this.running.set(request.attempt, request);
    this.mostAtOnce = Math.max(this.mostAtOnce, this.running.size);
    if (this.running.size > this.slots) this.overSlots++;
    return true;
  }

  /** Marks a request as served. */
  end(attempt: string): void {
    if (this.running.delete(attempt)) this.served++;
  }

  /** Aborts an attempt, even one that has not arrived yet. */
  abort(attempt: string): void {
    this.rememberAborted(attempt);
    const request = this.running.get(attempt);
    this.running.delete(attempt);
    request?.abort();
  }

  /** Remembers an aborted attempt, because the abort may overtake the attempt itself. */
  private rememberAborted(attempt: string): void {
    this.abortedAttempts.add(attempt);
    if (this.abortedAttempts.size <= MAX_REMEMBERED_ABORTS) return;
    const [oldest] = this.abortedAttempts;
    if (oldest !== undefined) this.abortedAttempts.delete(oldest);
  }

  /** Counts a refused request. */
  countRefusal(): void {
    this.refused++;
  }

  /** Number of requests in flight. */
  get size(): number {
    return this.running.size;
  }

  /** Sequence number of the next announcement. */
  nextSeq(): number {
    return ++this.seq;
  }

  /** Number of requests in flight by holder. */
  inFlight(): Array<{holder: HolderId; requests: number}> {
    const counts = new Map<HolderId, number>();
    for (const {holder} of this.running.values())
      counts.set(holder, (counts.get(holder) ?? 0) + 1);
    return [...counts].map(([holder, requests]) => ({holder, requests}));
  }

  /** Counters since the start. */
  counts(): UpstreamCounts {
    const {served, mostAtOnce, overSlots, refused} = this;
    return {served, mostAtOnce, overSlots, refusedWhileLeaving: refused};
  }
}
