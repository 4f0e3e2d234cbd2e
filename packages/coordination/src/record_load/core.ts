/**
 * Admission of new work by the time that records of the log take.
 * Load pattern: submissions arrive faster than the leader's one thread can do
 * what follows from them. No turn of its event loop is long, but each step of a
 * record (its write, the replies of the followers, its commit) waits for a turn
 * of its own behind all other work, so a standing queue forms: submissions,
 * starts and ends all take a multiple of their usual time, and callers give up
 * on work that is then done for nobody. The measure is the shortest record of an
 * interval, which a short burst does not raise, as in CoDel; while it stays too
 * long, fewer submissions may be in flight, and the least urgent are refused first.
 */

/** Interval over which records are measured, in ms; a short burst drains within it. */
export const MEASURE_INTERVAL_MS = 500;
/** Shortest record of an interval from which on the leader is overloaded, in ms. */
const MIN_TARGET_MS = 200;
/** Highest such time, in ms, for a cell with slow disks or links. */
const MAX_TARGET_MS = 400;
/** Multiple of the time of a record without load at which the leader is overloaded. */
const TARGET_FACTOR = 2;
/** Part of the target below which an overloaded leader has recovered. */
const RESUME_FRACTION = 0.6;
/** Time after which the time of a record without load is measured anew, in ms. */
const BASE_WINDOW_MS = 30_000;
/** Submissions in flight that an overloaded leader still takes. */
const MIN_LIMIT = 4;
/** Submissions in flight from which on there is no limit. */
const MAX_LIMIT = 128;
/** Least factor by which one interval reduces the limit. */
const MIN_DECREASE_FACTOR = 0.5;
/** Bounds of the factor by which an interval without overload raises the limit. */
const MIN_INCREASE_FACTOR = 1.25;
const MAX_INCREASE_FACTOR = 2;
/** Time for which a priority counts as in demand after a submission, in ms. */
const DEMAND_MS = 2000;
/** Bounds of the time after which a refused client may return, before it is spread, in ms. */
const MIN_RETRY_MS = 1000;
const MAX_RETRY_MS = 8000;

/** A record that was proposed and is not applied yet. */
export interface PendingRecord {
  /** Monotonic time of the proposal, in ms. */
  readonly proposedAt: number;
}

/** A submission for which admission is asked. */
export interface Submission {
  /** Priority of its queue; 0 is the most urgent. */
  readonly priority: number;
  /** Submissions that are proposed and not applied yet. */
  readonly inFlight: number;
  /** Monotonic time until which its caller waits, in ms. */
  readonly deadline: number;
  /** Monotonic time, in ms. */
  readonly now: number;
  /** Random number from 0 to 1 that spreads the return of refused clients. */
  readonly spread: number;
}

/** Whether a submission is accepted. */
export type RecordDecision =
  | {readonly kind: 'take'}
  | {
      readonly kind: 'refuse';
      /** Shortest record of the last interval, in ms. */
      readonly recordMs: number;
      /** Submissions of this priority that may be in flight. */
      readonly limit: number;
      readonly retryAfterMs: number;
    };

/** Measured state, for a log line. */
export interface RecordLoadState {
  /** Shortest record of the last interval, in ms. */
  readonly recordMs: number;
  /** The time above which the leader is overloaded, in ms. */
  readonly targetMs: number;
  readonly pendingRecords: number;
  /** Submissions that may be in flight; null without a limit. */
  readonly limit: number | null;
  readonly isOverloaded: boolean;
}

/** Measures the records of one leadership and limits its submissions in flight. */
export class RecordLoad {
  /** Records in the order in which they were proposed. */
  private readonly pending = new Set<PendingRecord>();
  private shortestMs = Number.POSITIVE_INFINITY;
  private recordMs = 0;
  private limit = MAX_LIMIT;
  private isOverloaded = false;
  private intervalEndsAt: number;
  private base: {previousMs: number; currentMs: number; endsAt: number};
  /** Monotonic time until which a priority is in demand, in ms. */
  private readonly demandUntil = new Map<number, number>();
  private mostInFlight = 0;
  private asked = 0;
  private taken = 0;
  /** Submissions asked for per submission taken, in the last interval. */
  private excess = 1;

  constructor(now: number) {
    this.intervalEndsAt = now + MEASURE_INTERVAL_MS;
    this.base = {
      previousMs: Number.POSITIVE_INFINITY,
      currentMs: Number.POSITIVE_INFINITY,
      endsAt: now + BASE_WINDOW_MS,
    };
  }

  /** Notes a proposal at a monotonic time in ms. */
  begin(now: number): PendingRecord {
    this.advance(now);
    const record = {proposedAt: now};
    this.pending.add(record);
    return record;
  }

  /** Notes that a record is committed and applied. */
  end(record: PendingRecord, now: number): void {
    this.advance(now);
    if (!this.pending.delete(record)) return;
    const tookMs = now - record.proposedAt;
    this.shortestMs = Math.min(this.shortestMs, tookMs);
    this.base.currentMs = Math.min(this.base.currentMs, tookMs);
  }

  /** Notes that a record came to nothing: how long it took says nothing about load. */
  abandon(record: PendingRecord): void {
    this.pending.delete(record);
  }

  /** Decides whether a submission is accepted. */
  decide({
    priority,
    inFlight,
    deadline,
    now,
    spread,
  }: Submission): RecordDecision {
    this.advance(now);
    this.demandUntil.set(priority, now + DEMAND_MS);
    this.asked++;
    const limit = this.limitOf(priority);
    const isInTime = now + this.recordMs < deadline;
    if (isInTime && (this.isUnlimited || inFlight < limit)) {
      this.taken++;
      this.mostInFlight = Math.max(this.mostInFlight, inFlight + 1);
      return {kind: 'take'};
    }
    return {
      kind: 'refuse',
      recordMs: Math.round(this.recordMs),
      limit,
      retryAfterMs: Math.round(this.retryMs * (1 + spread)),
    };
  }

  /** The measured state at a monotonic time in ms. */
  stateAt(now: number): RecordLoadState {
    this.advance(now);
    return {
      recordMs: Math.round(this.recordMs),
      targetMs: Math.round(this.targetMs),
      pendingRecords: this.pending.size,
      limit: this.isUnlimited ? null : Math.floor(this.limit),
      isOverloaded: this.isOverloaded,
    };
  }

  private get isUnlimited(): boolean {
    return this.limit >= MAX_LIMIT;
  }

  /** A more urgent priority in demand leaves less of the limit to those after it. */
  private limitOf(priority: number): number {
    const priorities = [...this.demandUntil.keys()];
    const rank = priorities.filter(other => other < priority).length;
    const fraction = 1 - rank / priorities.length;
    return Math.max(1, Math.floor(this.limit * fraction));
  }

  private get targetMs(): number {
    const baseMs = Math.min(this.base.previousMs, this.base.currentMs);
    const scaledMs = Number.isFinite(baseMs) ? TARGET_FACTOR * baseMs : 0;
    return Math.min(MAX_TARGET_MS, Math.max(MIN_TARGET_MS, scaledMs));
  }

  /** The further records are below the bound, the sooner more may be in flight. */
  private get increaseFactor(): number {
    const factor = (RESUME_FRACTION * this.targetMs) / this.recordMs;
    return Math.min(MAX_INCREASE_FACTOR, Math.max(MIN_INCREASE_FACTOR, factor));
  }

  /** Time in which the limit grows to what is asked for, in ms. */
  private get retryMs(): number {
    const intervals = Math.log(this.excess) / Math.log(this.increaseFactor);
    const growMs = this.recordMs + intervals * MEASURE_INTERVAL_MS;
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, growMs));
  }

  private advance(now: number): void {
    if (now < this.intervalEndsAt) return;
    this.measure(now);
    this.adjustLimit();
    this.intervalEndsAt = now + MEASURE_INTERVAL_MS;
    this.shortestMs = Number.POSITIVE_INFINITY;
    this.excess = this.asked / Math.max(1, this.taken);
    this.mostInFlight = 0;
    this.asked = 0;
    this.taken = 0;
    this.forgetBase(now);
    for (const [priority, until] of this.demandUntil)
      if (until <= now) this.demandUntil.delete(priority);
  }

  /** Without any record that ended, the oldest that is pending has taken at least its age. */
  private measure(now: number): void {
    const [oldest] = this.pending;
    const ageMs = oldest ? now - oldest.proposedAt : 0;
    this.recordMs = Number.isFinite(this.shortestMs) ? this.shortestMs : ageMs;
  }

  private adjustLimit(): void {
    const {targetMs, recordMs} = this;
    const boundMs = this.isOverloaded ? RESUME_FRACTION * targetMs : targetMs;
    this.isOverloaded = recordMs > boundMs;
    if (this.isOverloaded) {
      const used = Math.min(this.limit, Math.max(this.mostInFlight, MIN_LIMIT));
      const factor = Math.max(MIN_DECREASE_FACTOR, boundMs / recordMs);
      this.limit = Math.max(MIN_LIMIT, used * factor);
    } else this.limit = Math.min(MAX_LIMIT, this.limit * this.increaseFactor);
  }

  private forgetBase(now: number): void {
    if (now < this.base.endsAt) return;
    this.base = {
      previousMs: this.base.currentMs,
      currentMs: Number.POSITIVE_INFINITY,
      endsAt: now + BASE_WINDOW_MS,
    };
  }
}
