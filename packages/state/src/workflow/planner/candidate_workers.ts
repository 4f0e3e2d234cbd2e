/** The workers that may run the tasks of a step, for one pass. */
import type {StepKey} from '../types.js';
import type {StepWork} from './step_work.js';
import type {PlanInput, WorkerView} from './types.js';

/** Usable workers by pool and label, and those that an adviser allows. */
export class CandidateWorkers {
  private readonly byPool = new Map<string, WorkerView[]>();
  /** Usable workers by pool and required label. */
  private readonly suitableByLabel = new Map<string, WorkerView[]>();
  /** Workers that an adviser allows, by step. */
  private readonly allowedByStep = new Map<StepKey, WorkerView[]>();

  constructor(private readonly workers: PlanInput['workers']) {
    for (const worker of workers.values()) {
      const pool = this.byPool.get(worker.pool) ?? [];
      pool.push(worker);
      this.byPool.set(worker.pool, pool);
    }
  }

  /** Workers that may run a step, as far as its adviser has answered. */
  of(work: StepWork): WorkerView[] {
    const {queue, spec, advice} = work;
    if (!queue.advice) return this.suitable(work);
    const known = this.allowedByStep.get(work.ready.key);
    if (known) return known;
    const allowed: WorkerView[] = [];
    for (const worker of advice?.allowed ?? []) {
      const view = this.workers.get(worker);
      if (view?.pool === queue.pool && isSuitable(view, spec.requiredLabel))
        allowed.push(view);
    }
    this.allowedByStep.set(work.ready.key, allowed);
    return allowed;
  }

  /** Usable workers of the pool with the label that a step requires. */
  suitable({
    queue: {pool},
    spec: {requiredLabel},
  }: Pick<StepWork, 'queue' | 'spec'>): WorkerView[] {
    const key = `${pool}\n${requiredLabel ?? ''}`;
    const known = this.suitableByLabel.get(key);
    if (known) return known;
    const suitable = (this.byPool.get(pool) ?? []).filter(worker =>
      isSuitable(worker, requiredLabel),
    );
    this.suitableByLabel.set(key, suitable);
    return suitable;
  }
}

const isSuitable = (
  {isUsable, labels}: WorkerView,
  requiredLabel: string | undefined,
): boolean =>
  isUsable && (requiredLabel === undefined || labels.has(requiredLabel));
