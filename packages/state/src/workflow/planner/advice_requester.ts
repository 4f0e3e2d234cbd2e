/**
 * Collects the requests to advisers of one pass. Load pattern: steps of several
 * queues wait at the same time, and each call occupies a caller for up to a
 * second.
 */
import type {AdviceTiming} from '../../bundle/types.js';
import type {WorkerId} from '../../ids/types.js';
import type {StepKey} from '../types.js';
import {MAX_ADVISED_WORKERS, chooseWorkersToQuery} from './advice.js';
import {
  AdviceCallSlots,
  RENEW_MARGIN_MS,
  renewBelowMs,
} from './advice_call_slots.js';
import type {StepWork} from './step_work.js';
import type {AdviceRequest, PlanInput, WorkerView} from './types.js';

const NO_TIMING: AdviceTiming = {baseMs: 0, perWorkerMs: 0, validMs: 0};

/** Workers on which a step could run, and those of them that are allowed. */
export interface CandidateWorkers {
  readonly suitableWorkers: readonly WorkerView[];
  readonly allowed: readonly WorkerView[];
}

/** Requests advice about steps while call slots are available. */
export class AdviceRequester {
  readonly requests: AdviceRequest[] = [];
  private readonly slots: AdviceCallSlots;
  /** Steps about which this pass requests advice. */
  private readonly asked = new Set<StepKey>();

  constructor(private readonly input: Pick<PlanInput, 'now' | 'callerCount'>) {
    this.slots = new AdviceCallSlots(input.callerCount);
  }

  /**
   * Acquires a call slot.
   * @returns whether the step's adviser may be queried now.
   */
  tryAcquireSlot({queue}: StepWork): boolean {
    return queue.advice === undefined || this.slots.take(queue.advice);
  }

  /**
   * Releases the slot of a step without a request of this pass or a call in
   * progress.
   */
  releaseUnusedSlot({queue, ready, advice}: StepWork): void {
    const isUsed = this.asked.has(ready.key) || advice?.isAsking === true;
    if (queue.advice && !isUsed) this.slots.release(queue.advice);
  }

  /**
   * Requests advice about more workers if too few are known to be allowed.
   * @returns whether no task can be placed before the adviser answers.
   */
  requestIfNeeded(
    {ready, queue, spec, advice}: StepWork,
    taskCount: number,
    {suitableWorkers, allowed}: CandidateWorkers,
  ): boolean {
    const isNoneAllowed = !advice || advice.allowed.size === 0;
    if (advice?.isAsking) return isNoneAllowed;
    const workers = chooseWorkersToQuery(
      {key: ready.key, spec, taskCount, timing: queue.advice ?? NO_TIMING},
      suitableWorkers,
      advice && {asked: advice.asked, allowed},
    );
    if (workers.length > 0) {
      this.asked.add(ready.key);
      this.requests.push({step: ready.ref, workers});
    }
    return isNoneAllowed;
  }

  /**
   * Renews tickets of a waiting step before they expire, so that it can start
   * without delay.
   */
  renewExpiringTickets(
    work: StepWork,
    timing: AdviceTiming,
    candidates: readonly WorkerView[],
  ): void {
    const {advice} = work;
    if (!advice || advice.isAsking) return;
    const keepUntil = this.input.now + renewBelowMs(timing);
    const isExpiring = candidates.some(
      ({worker}) => (advice.tickets.get(worker)?.validUntil ?? 0) < keepUntil,
    );
    if (!isExpiring) return;
    this.renew(work, new Set(candidates.map(({worker}) => worker)));
  }

  /**
   * Renews lapsed tickets. A gang starts only while all its tickets are valid,
   * so the same call renews those of its other chosen workers that would lapse
   * before the answer.
   */
  renewLapsed(
    work: StepWork,
    lapsed: ReadonlySet<WorkerId>,
    chosen: ReadonlySet<WorkerId>,
  ): void {
    const {advice, queue, spec} = work;
    if (lapsed.size === 0 || !queue.advice || !spec.isGang)
      return this.renew(work, lapsed);
    const {baseMs, perWorkerMs} = queue.advice;
    const keepUntil =
      this.input.now + baseMs + perWorkerMs * chosen.size + RENEW_MARGIN_MS;
    const lapsing = [...chosen].filter(
      worker => (advice?.tickets.get(worker)?.validUntil ?? 0) < keepUntil,
    );
    this.renew(work, new Set([...lapsed, ...lapsing]));
  }

  /**
   * Queries again about workers, unless a request or call about the step is
   * pending.
   */
  renew({ready, advice}: StepWork, workers: ReadonlySet<WorkerId>): void {
    if (workers.size === 0 || advice?.isAsking) return;
    if (this.asked.has(ready.key)) return;
    this.asked.add(ready.key);
    const named = [...workers].slice(0, MAX_ADVISED_WORKERS);
    this.requests.push({step: ready.ref, workers: named});
  }
}
