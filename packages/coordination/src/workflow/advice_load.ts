/** Statistics of the calls for advice, by queue. */
import type {QueueName, StepAdvice, WorkerId} from '@primrosewick/state';

/** Purpose of a call for advice. */
export type AdviceCallKind =
  /** The step has no advice yet. */
  | 'first'
  /** The call includes workers without advice. */
  | 'more'
  /** All workers have advice; the call renews their tickets. */
  | 'renewal';

/** Statistics of the calls of one kind. */
export interface AdviceCalls {
  /** Calls that were sent. */
  calls: number;
  /** Calls without an answer. */
  failed: number;
  /** Total time that the calls took, in ms. */
  busyMs: number;
  /** Total time that the calls were queued for a VM, in ms. */
  queuedMs: number;
}

/** Statistics of the calls of one queue. */
export type QueueAdvice = Readonly<
  Partial<Record<AdviceCallKind, Readonly<AdviceCalls>>>
> & {
  /** Calls in flight. */
  readonly asking: number;
};

interface QueueCalls {
  readonly kinds: Map<AdviceCallKind, AdviceCalls>;
  asking: number;
}

/** @returns the purpose of a call about some workers of a step. */
export const adviceCallKind = (
  {asked}: Pick<StepAdvice, 'asked'>,
  workers: readonly WorkerId[],
): AdviceCallKind => {
  if (asked.size === 0) return 'first';
  return workers.every(worker => asked.has(worker)) ? 'renewal' : 'more';
};

/** Statistics of the calls of all queues since the leadership began. */
export class AdviceLoad {
  private readonly queues = new Map<QueueName, QueueCalls>();

  /** Notes a call that is sent after it was queued for `queuedMs`. */
  begin(queue: QueueName, kind: AdviceCallKind, queuedMs: number): void {
    const {calls, sums} = this.statsOf(queue, kind);
    calls.asking++;
    sums.calls++;
    sums.queuedMs += queuedMs;
  }

  /** Notes the end of a call. */
  end(
    queue: QueueName,
    kind: AdviceCallKind,
    {
      busyMs,
      isAnswered,
    }: {readonly busyMs: number; readonly isAnswered: boolean},
  ): void {
    const {calls, sums} = this.statsOf(queue, kind);
    calls.asking--;
    sums.busyMs += busyMs;
    if (!isAnswered) sums.failed++;
  }

  /** Statistics of one queue; undefined if it has had no calls. */
  sumsOf(queue: QueueName): QueueAdvice | undefined {
    const calls = this.queues.get(queue);
    if (!calls) return undefined;
    const kinds = [...calls.kinds].map(([kind, sums]) => [kind, rounded(sums)]);
    return {asking: calls.asking, ...Object.fromEntries(kinds)};
  }

  private statsOf(queue: QueueName, kind: AdviceCallKind) {
    const calls = this.queues.get(queue) ?? {kinds: new Map(), asking: 0};
    this.queues.set(queue, calls);
    const sums = calls.kinds.get(kind) ?? emptyCalls();
    calls.kinds.set(kind, sums);
    return {calls, sums};
  }
}

const emptyCalls = (): AdviceCalls => ({
  calls: 0,
  failed: 0,
  busyMs: 0,
  queuedMs: 0,
});

const rounded = ({calls, failed, busyMs, queuedMs}: AdviceCalls) => ({
  calls,
  failed,
  busyMs: Math.round(busyMs),
  queuedMs: Math.round(queuedMs),
});
