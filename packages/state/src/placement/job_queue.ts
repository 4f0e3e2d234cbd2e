import {reviverOf} from '../utils/image.js';
import type {JobId} from '../ids/types.js';
import type {JobView} from './job_table.js';
import {URGENT_PRIORITY} from './types.js';

interface Queued {
  readonly view: JobView;
  /** Time at which the job reached its current level. */
  readonly since: number;
}

/**
 * Jobs with tasks to start, by priority and then by arrival. A job that has
 * waited long enough moves up one level, so that none starves.
 */
export class JobQueue {
  private readonly levels = Array.from(
    {length: URGENT_PRIORITY + 1},
    () => new Map<JobId, Queued>(),
  );

  constructor(private readonly ageingMs: number) {}

  /** Adds a job at the level of its priority, unless it is queued already. */
  add(view: JobView, now: number): void {
    const id = view.record.id;
    if (this.levels.some(level => level.has(id))) return;
    this.levels[view.record.spec.priority]?.set(id, {view, since: now});
  }

  /** Removes a job. */
  remove(id: JobId): void {
    for (const level of this.levels) level.delete(id);
  }

  /** Moves jobs up one level that have waited `ageingMs` at theirs. */
  age(now: number): void {
    for (let level = URGENT_PRIORITY - 1; level >= 0; level--) {
      for (const [id, {view, since}] of this.levels[level] ?? []) {
        if (now < since + this.ageingMs) break;
        this.levels[level]?.delete(id);
        this.levels[level + 1]?.set(id, {view, since: now});
      }
    }
  }

  /** Jobs in scheduling order. */
  *list(): IterableIterator<JobView> {
    for (let level = URGENT_PRIORITY; level >= 0; level--) {
      for (const {view} of [...(this.levels[level]?.values() ?? [])])
        yield view;
    }
  }

  /** Number of queued jobs. */
  get size(): number {
    return this.levels.reduce((sum, level) => sum + level.size, 0);
  }
}

/** Restores a queue from its deserialized state. */
export const reviveJobQueue = reviverOf(JobQueue.prototype);
