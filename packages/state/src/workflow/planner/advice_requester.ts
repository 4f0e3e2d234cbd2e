/**
 * Collects what advisers are asked in one pass. Load pattern: steps of several
 * queues wait at once, and each call takes a caller for up to a second.
 */
import type {AdviceTiming} from '../../bundle/types.js';
import type {WorkerId} from '../../ids/types.js';
import type {StepKey} from '../types.js';
import {MAX_ADVISED_WORKERS, chooseWorkersToQuery} from './advice.js';
import {AdviceCallSlots, renewBelowMs} from './advice_call_slots.js';
import type {StepWork} from './step_work.js';
import type {AdviceRequest, PlanInput, WorkerView} from './types.js';

const NO_TERMS: AdviceTiming = {baseMs: 0, perWorkerMs: 0, validMs: 0};

/** Workers that a step could run on, and those of them that are allowed. */
export interface CandidateWorkers {
  readonly suitable: readonly WorkerView[];
  readonly allowed: readonly WorkerView[];
}

/** Asks advisers about steps as their turns come. */
export class AdviceRequester {
  readonly requests: AdviceRequest[] = [];
  private readonly turns: AdviceCallSlots;
  /** Steps that this pass asks about. */
  private readonly asked = new Set<StepKey>();

  constructor(private readonly input: Pick<PlanInput, 'now' | 'callerCount'>) {
    this.turns = new AdviceCallSlots(input.callerCount);
  }

  /** Takes a turn. @returns whether the step's adviser may be asked now. */
  tryAcquireSlot({queue}: StepWork): boolean {
    return queue.advice === undefined || this.turns.take(queue.advice);
  }

  /** Gives the turn of a step on that neither asks nor is asked about. */
  releaseUnusedSlot({queue, ready, advice}: StepWork): void {
    const isUsed = this.asked.has(ready.key) || advice?.isAsking === true;
    if (queue.advice && !isUsed) this.turns.release(queue.advice);
  }

  /**
   * Asks about more workers where too few are known to be allowed.
   * @returns whether nothing can be placed before the answer.
   */
  requestIfNeeded(
    {ready, queue, spec, advice}: StepWork,
    taskCount: number,
    {suitable, allowed}: CandidateWorkers,
  ): boolean {
    const isNoneAllowed = !advice || advice.allowed.size === 0;
    if (advice?.isAsking) return isNoneAllowed;
    const workers = chooseWorkersToQuery(
      spec,
      suitable,
      taskCount,
      queue.advice ?? NO_TERMS,
      advice && {asked: advice.asked, allowed},
    );
    if (workers.length > 0) {
      this.asked.add(ready.key);
      this.requests.push({step: ready.ref, workers});
    }
    return isNoneAllowed;
  }

  /** Keeps the tickets of a step that waits valid, so that it starts when there is room. */
  renewExpiringTickets(
    work: StepWork,
    terms: AdviceTiming,
    candidates: readonly WorkerView[],
  ): void {
    const {advice} = work;
    if (!advice || advice.isAsking) return;
    const keepUntil = this.input.now + renewBelowMs(terms);
    const isLapsing = candidates.some(
      ({worker}) => (advice.tickets.get(worker)?.validUntil ?? 0) < keepUntil,
    );
    if (!isLapsing) return;
    this.renew(work, new Set(candidates.map(({worker}) => worker)));
  }

  /** Asks about workers once more. */
  renew({ready, advice}: StepWork, workers: ReadonlySet<WorkerId>): void {
    if (workers.size === 0 || advice?.isAsking) return;
    if (this.asked.has(ready.key)) return;
    this.asked.add(ready.key);
    const named = [...workers].slice(0, MAX_ADVISED_WORKERS);
    this.requests.push({step: ready.ref, workers: named});
  }
}
