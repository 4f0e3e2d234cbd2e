/**
 * Aggregates, for each queue, the wait reasons of its steps and the outcomes of
 * its runs. Load pattern: a planner pass reports some hundred waiting steps of a
 * few queues, sixty times a second, and log lines for single steps are dropped
 * under load.
 */
import {
  stepKey,
  type PlannedWait,
  type QueueName,
  type StepKey,
  type WaitReason,
  type WorkflowId,
} from '@primrosewick/state';

/** Counters of a queue; each is split by a reason or outcome. */
export type CountedKind =
  /** Starts that were sent to a worker. */
  | 'starts'
  /** Starts that failed or have an unknown outcome, by the reason. */
  | 'startFailed'
  /** Runs that were ordered to stop, by the reason. */
  | 'stops'
  /** Ended runs, by outcome. */
  | 'ended'
  /** Runs that were voided without an end, by the reason. */
  | 'givenUp'
  /** Rejected workflows, by the reason. */
  | 'refused';

/** Totals by name. */
export type Sums = Readonly<Record<string, number>>;

/** A wait of a step for one reason that has ended. */
export interface EndedWait {
  readonly queue: QueueName;
  readonly reason: WaitReason;
  readonly waitMs: number;
}

/** Steps that currently wait for one reason. */
export interface WaitingSteps {
  readonly steps: number;
  /** Longest wait of one of these steps, for all reasons together, in ms. */
  readonly oldestMs: number;
}

/** Current waits and totals of one queue. */
export interface QueueSums {
  readonly waiting: Readonly<Partial<Record<WaitReason, WaitingSteps>>>;
  /** Total time that its steps have waited so far, by reason, in ms. */
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

/** Statistics of the waits and runs of all queues since the leadership began. */
export class QueueLoad {
  private steps = new Map<StepKey, StepWait>();
  private readonly waitedMs = new Map<QueueName, Map<string, number>>();
  private readonly counts = new Map<
    QueueName,
    Map<CountedKind, Map<string, number>>
  >();

  /** @param queueOf returns the queue of a workflow, or undefined for an unknown one. */
  constructor(
    private readonly queueOf: (id: WorkflowId) => QueueName | undefined,
  ) {}

  /**
   * Notes all waits of one pass, at a monotonic time in ms.
   * @returns the waits that have ended since the last pass.
   */
  notePass(waits: readonly PlannedWait[], now: number): EndedWait[] {
    const before = this.steps;
    const ended: EndedWait[] = [];
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
      ended.push(toEndedWait(wait, now));
      wait.why = why;
      wait.whySince = now;
    }
    for (const wait of before.values()) {
      this.addWaited(wait, now);
      ended.push(toEndedWait(wait, now));
    }
    return ended;
  }

  /** Increments a counter of the workflow's queue, if that is known. */
  count(id: WorkflowId, kind: CountedKind, name: string): void {
    const queue = this.queueOf(id);
    if (queue !== undefined) this.countFor(queue, kind, name);
  }

  /** Increments a counter of a queue. */
  countFor(queue: QueueName, kind: CountedKind, name: string): void {
    const kinds = getOrCreate(this.counts, queue, () => new Map());
    const sums = getOrCreate(kinds, kind, () => new Map<string, number>());
    sums.set(name, (sums.get(name) ?? 0) + 1);
  }

  /** Workflows with a waiting step. */
  waitingWorkflows(): Set<WorkflowId> {
    return new Set([...this.steps.values()].map(({workflow}) => workflow));
  }

  /** Current waits and totals of a queue, at a monotonic time in ms. */
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
    const sums = getOrCreate(this.waitedMs, wait.queue, () => new Map());
    sums.set(wait.why, (sums.get(wait.why) ?? 0) + now - wait.notedAt);
    wait.notedAt = now;
  }
}

const toEndedWait = (
  {queue, why, whySince}: StepWait,
  now: number,
): EndedWait => ({
  queue,
  reason: why,
  waitMs: now - whySince,
});

const getOrCreate = <K, V>(map: Map<K, V>, key: K, make: () => V): V => {
  const known = map.get(key);
  if (known !== undefined) return known;
  const made = make();
  map.set(key, made);
  return made;
};
