/**
 * Sums up, for each queue, what its steps wait for and what became of its runs.
 * Load pattern: a pass of the leader names some hundred waiting steps of a few
 * queues, sixty times a second, and single lines of them are dropped under load.
 */
import {
  stepKey,
  type PlannedWait,
  type QueueName,
  type StepKey,
  type WaitReason,
  type WorkflowId,
} from '@primrosewick/state';

/** What is counted of a queue, by a reason or outcome. */
export type CountedKind =
  /** Starts that were ordered. */
  | 'starts'
  /** Starts that did not take place, by what the worker said. */
  | 'startFailed'
  /** Runs told to stop, by why. */
  | 'stops'
  /** Ends of runs, by outcome. */
  | 'ended'
  /** Runs given up without an end, by why. */
  | 'givenUp'
  /** Workflows that were refused. */
  | 'refused';

/** Sums by name. */
export type Sums = Readonly<Record<string, number>>;

/** A wait for one reason that is over. */
export interface EndedWait {
  readonly queue: QueueName;
  readonly reason: WaitReason;
  readonly waitMs: number;
}

/** Steps that wait for one reason. */
export interface WaitingSteps {
  readonly steps: number;
  /** Longest time for which one of them has waited, for whatever reason, in ms. */
  readonly oldestMs: number;
}

/** What is known of the waits and runs of one queue. */
export interface QueueSums {
  readonly waiting: Readonly<Partial<Record<WaitReason, WaitingSteps>>>;
  /** Time that its steps have waited so far, by reason, in ms. */
  readonly waitedMs: Sums;
  readonly counts: Readonly<Partial<Record<CountedKind, Sums>>>;
}

interface StepWait {
  readonly workflow: WorkflowId;
  readonly queue: QueueName;
  readonly since: number;
  why: WaitReason;
  whySince: number;
  notedAt: number;
}

/** The waits and runs of all queues since the leadership began. */
export class QueueLoad {
  private steps = new Map<StepKey, StepWait>();
  private readonly waitedMs = new Map<QueueName, Map<string, number>>();
  private readonly counts = new Map<
    QueueName,
    Map<CountedKind, Map<string, number>>
  >();

  /** @param queueOf finds the queue of a workflow that goes on. */
  constructor(
    private readonly queueOf: (id: WorkflowId) => QueueName | undefined,
  ) {}

  /**
   * Takes all waits of one pass, at a monotonic time in ms.
   * @returns the waits that are over.
   */
  notePass(waits: readonly PlannedWait[], now: number): EndedWait[] {
    const before = this.steps;
    const over: EndedWait[] = [];
    this.steps = new Map();
    for (const {step, why} of waits) {
      const key = stepKey(step);
      const known = before.get(key);
      before.delete(key);
      const wait = known ?? this.begin(step.workflow, why, now);
      if (!wait) continue;
      this.steps.set(key, wait);
      this.addWaited(wait, now);
      if (wait.why === why) continue;
      over.push(endOf(wait, now));
      wait.why = why;
      wait.whySince = now;
    }
    for (const wait of before.values()) {
      this.addWaited(wait, now);
      over.push(endOf(wait, now));
    }
    return over;
  }

  /** Counts something of a workflow's queue. */
  count(id: WorkflowId, kind: CountedKind, name: string): void {
    const queue = this.queueOf(id);
    if (queue !== undefined) this.countFor(queue, kind, name);
  }

  /** Counts something of a queue. */
  countFor(queue: QueueName, kind: CountedKind, name: string): void {
    const kinds = childOf(this.counts, queue, () => new Map());
    const sums = childOf(kinds, kind, () => new Map<string, number>());
    sums.set(name, (sums.get(name) ?? 0) + 1);
  }

  /** Workflows of which a step waits. */
  waitingWorkflows(): Set<WorkflowId> {
    return new Set([...this.steps.values()].map(({workflow}) => workflow));
  }

  /** What is known of a queue, at a monotonic time in ms. */
  sumsOf(queue: QueueName, now: number): QueueSums {
    const waiting: Partial<Record<WaitReason, WaitingSteps>> = {};
    for (const wait of this.steps.values()) {
      if (wait.queue !== queue) continue;
      const {steps, oldestMs} = waiting[wait.why] ?? {steps: 0, oldestMs: 0};
      waiting[wait.why] = {
        steps: steps + 1,
        oldestMs: Math.max(oldestMs, Math.round(now - wait.since)),
      };
    }
    const counts: Partial<Record<CountedKind, Sums>> = {};
    for (const [kind, sums] of this.counts.get(queue) ?? [])
      counts[kind] = Object.fromEntries(sums);
    const waitedMs = Object.fromEntries(
      [...(this.waitedMs.get(queue) ?? [])].map(([why, ms]) => [
        why,
        Math.round(ms),
      ]),
    );
    return {waiting, waitedMs, counts};
  }

  private begin(
    workflow: WorkflowId,
    why: WaitReason,
    now: number,
  ): StepWait | undefined {
    const queue = this.queueOf(workflow);
    if (queue === undefined) return undefined;
    return {workflow, queue, since: now, why, whySince: now, notedAt: now};
  }

  private addWaited(wait: StepWait, now: number): void {
    const sums = childOf(this.waitedMs, wait.queue, () => new Map());
    sums.set(wait.why, (sums.get(wait.why) ?? 0) + now - wait.notedAt);
    wait.notedAt = now;
  }
}

const endOf = ({queue, why, whySince}: StepWait, now: number): EndedWait => ({
  queue,
  reason: why,
  waitMs: now - whySince,
});

const childOf = <K, V>(map: Map<K, V>, key: K, make: () => V): V => {
  const known = map.get(key);
  if (known !== undefined) return known;
  const made = make();
  map.set(key, made);
  return made;
};
