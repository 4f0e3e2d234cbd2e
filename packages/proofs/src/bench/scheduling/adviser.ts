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
  readonly answer: () => void;
}

/** Answers advice calls on virtual time, at most `callerCount` at once. */
export class BenchAdviser {
  private readonly records = new Map<StepKey, AdviceRecord>();
  private waiting: Call[] = [];
  private underWay = 0;

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
    this.waiting.push({
      tookMs: advice.baseMs + advice.perWorkerMs * workers.length,
      answer: () => this.take(key, record, workers, advice),
    });
    this.serve();
  }

  /** Starts calls that wait for a free caller, shortest first. */
  private serve(): void {
    this.waiting.sort((a, b) => a.tookMs - b.tookMs);
    while (this.underWay < this.callerCount) {
      const call = this.waiting.shift();
      if (!call) return;
      this.underWay++;
      this.queue.after(call.tookMs, () => {
        this.underWay--;
        call.answer();
        this.serve();
        this.onAnswer();
      });
    }
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
