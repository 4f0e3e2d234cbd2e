/**
 * Simulated adviser: allows a fixed fraction of the workers, and takes the
 * time that the workflow kind's advice timing gives.
 */
import {
  stepKey,
  type StepAdvice,
  type StepKey,
  type StepRef,
  type Ticket,
  type WorkerId,
} from '@primrosewick/state';
import type {EventQueue} from '../../world/event_queue.js';
import type {WorkflowKind} from './load.js';

interface AdviceRecord extends StepAdvice {
  readonly asked: Set<WorkerId>;
  readonly allowed: Set<WorkerId>;
  readonly tickets: Map<WorkerId, Ticket>;
  isAsking: boolean;
}

interface Call {
  readonly tookMs: number;
  /** Time at which it would end with a free caller, in ms. */
  readonly deadline: number;
  readonly answer: () => void;
}

/** Longest duration of a short call, in ms, and the callers that are left to these. */
const SHORT_CALL_MS = 50;
const SHORT_SHARE = 0.3;

/** Answers advice calls on virtual time, at most `callerCount` at once. */
export class BenchAdviser {
  private readonly records = new Map<StepKey, AdviceRecord>();
  private waiting: Call[] = [];
  private underWay = 0;
  private longUnderWay = 0;
  /** Counts the losses of all advice; answers of calls before one are ignored. */
  private generation = 0;

  constructor(
    private readonly queue: EventQueue,
    private readonly callerCount: number,
    private readonly onAnswer: () => void,
  ) {}

  /** Advice received about a step so far. */
  adviceOf(key: StepKey): StepAdvice | undefined {
    return this.records.get(key);
  }

  /** Requests advice about workers; the call starts when a caller is free. */
  ask(
    step: StepRef,
    workers: readonly WorkerId[],
    {advice}: WorkflowKind,
  ): void {
    const key = stepKey(step);
    const record = this.records.get(key) ?? newRecord();
    this.records.set(key, record);
    if (record.isAsking) return;
    record.isAsking = true;
    const tookMs = advice.baseMs + advice.perWorkerMs * workers.length;
    this.waiting.push({
      tookMs,
      deadline: this.queue.now + tookMs,
      answer: () => this.take(key, record, workers, advice),
    });
    this.serve();
  }

  /** Loses all advice and all calls, as a new leader knows none. */
  forgetAll(): void {
    this.records.clear();
    this.waiting = [];
    this.underWay = 0;
    this.longUnderWay = 0;
    this.generation++;
  }

  /**
   * Starts calls that wait for a free caller, by the time at which they could
   * have ended; some callers are left to short calls.
   */
  private serve(): void {
    this.waiting.sort((a, b) => a.deadline - b.deadline);
    const unsent: Call[] = [];
    for (const call of this.waiting)
      if (this.mayStart(call)) this.start(call);
      else unsent.push(call);
    this.waiting = unsent;
  }

  private mayStart({tookMs}: Call): boolean {
    if (this.underWay >= this.callerCount) return false;
    const maxLong =
      this.callerCount - Math.floor(this.callerCount * SHORT_SHARE);
    return tookMs <= SHORT_CALL_MS || this.longUnderWay < maxLong;
  }

  private start(call: Call): void {
    const {generation} = this;
    const long = call.tookMs > SHORT_CALL_MS ? 1 : 0;
    this.underWay++;
    this.longUnderWay += long;
    this.queue.after(call.tookMs, () => {
      if (generation !== this.generation) return;
      this.underWay--;
      this.longUnderWay -= long;
      call.answer();
      this.serve();
      this.onAnswer();
    });
  }

  private take(
    key: StepKey,
    record: AdviceRecord,
    workers: readonly WorkerId[],
    {allowedShare, validMs}: WorkflowKind['advice'],
  ): void {
    record.isAsking = false;
    const validUntil = this.queue.now + validMs;
    for (const worker of workers) {
      record.asked.add(worker);
      if (hashToFraction(`${key}/${worker}`) >= allowedShare) continue;
      record.allowed.add(worker);
      record.tickets.set(worker, {bornAt: 1, text: 't', validUntil});
    }
  }
}

const newRecord = (): AdviceRecord => ({
  asked: new Set(),
  allowed: new Set(),
  tickets: new Map(),
  isAsking: false,
});

/** Hashes a text to a number in [0, 1). */
const hashToFraction = (text: string): number => {
  let hash = 2166136261;
  for (let i = 0; i < text.length; i++)
    hash = Math.imul(hash ^ text.charCodeAt(i), 16777619) >>> 0;
  hash = Math.imul(hash ^ (hash >>> 15), 2246822519) >>> 0;
  return ((hash ^ (hash >>> 13)) >>> 0) / 2 ** 32;
};
