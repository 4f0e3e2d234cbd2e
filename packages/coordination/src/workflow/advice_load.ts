/** Sums up what the calls for advice of each queue cost. */
import type {QueueName, StepAdvice, WorkerId} from '@primrosewick/state';

/** What a call for advice is for. */
export type AdviceCallKind =
  /** The step was never asked about. */
  | 'first'
  /** Some of the workers were not asked about before. */
  | 'more'
  /** All of the workers were asked about before: their tickets are to be renewed. */
  | 'renewal';

/** Calls of one kind. */
export interface AdviceCalls {
  /** Calls that have left. */
  calls: number;
  /** Calls that brought no answer. */
  failed: number;
  /** Time for which they kept a VM busy, in ms. */
  busyMs: number;
  /** Time for which they waited for a VM, in ms. */
  queuedMs: number;
}

/** Calls of one queue. */
export type QueueAdvice = Readonly<
  Partial<Record<AdviceCallKind, Readonly<AdviceCalls>>>
> & {
  /** Calls that are under way. */
  readonly asking: number;
};

interface QueueCalls {
  readonly kinds: Map<AdviceCallKind, AdviceCalls>;
  asking: number;
}

/** @returns what a call about some workers of a step is for. */
export const adviceCallKind = (
  {asked}: Pick<StepAdvice, 'asked'>,
  workers: readonly WorkerId[],
): AdviceCallKind => {
  if (asked.size === 0) return 'first';
  return workers.every(worker => asked.has(worker)) ? 'renewal' : 'more';
};

/** The calls of all queues since the leadership began. */
export class AdviceLoad {
  private readonly queues = new Map<QueueName, QueueCalls>();

  /** Notes a call that leaves after it has waited for a VM. */
  begin(queue: QueueName, kind: AdviceCallKind, queuedMs: number): void {
    const {calls, sums} = this.of(queue, kind);
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
    const {calls, sums} = this.of(queue, kind);
    calls.asking--;
    sums.busyMs += busyMs;
    if (!isAnswered) sums.failed++;
  }

  /** What is known of a queue; undefined where its adviser was never asked. */
  sumsOf(queue: QueueName): QueueAdvice | undefined {
    const calls = this.queues.get(queue);
    if (!calls) return undefined;
    const kinds = [...calls.kinds].map(([kind, sums]) => [kind, rounded(sums)]);
    return {asking: calls.asking, ...Object.fromEntries(kinds)};
  }

  private of(queue: QueueName, kind: AdviceCallKind) {
    const calls = this.queues.get(queue) ?? {kinds: new Map(), asking: 0};
    this.queues.set(queue, calls);
    const sums = calls.kinds.get(kind) ?? noCalls();
    calls.kinds.set(kind, sums);
    return {calls, sums};
  }
}

const noCalls = (): AdviceCalls => ({
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
