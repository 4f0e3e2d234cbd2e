/** Remembers the incarnations of workers that have said that they end. */
import type {WorkerIncarnation} from './types.js';

/** Maximum number of remembered incarnations; the oldest is dropped first. */
export const MAX_DEPARTED = 1024;

/**
 * Incarnations that have ended for good, by their own word. A delayed
 * announcement of one registers it no more; a later incarnation of the same
 * worker is not affected. Bounded by count, so that all voters drop the same.
 */
export class DepartedWorkers {
  private readonly departed = new Map<string, WorkerIncarnation>();

  /** Adds an incarnation; one whose start is unknown cannot be told from the next. */
  add({worker, bornAt}: WorkerIncarnation): void {
    if (bornAt === 0) return;
    const key = keyOf({worker, bornAt});
    this.departed.delete(key);
    this.departed.set(key, {worker, bornAt});
    const [oldest] = this.departed.keys();
    if (this.departed.size > MAX_DEPARTED && oldest !== undefined)
      this.departed.delete(oldest);
  }

  has(life: WorkerIncarnation): boolean {
    return this.departed.has(keyOf(life));
  }

  /** All remembered incarnations, oldest first. */
  values(): WorkerIncarnation[] {
    return [...this.departed.values()];
  }

  /** Replaces all by those of an image; older images have none. */
  restore(image: readonly WorkerIncarnation[] = []): void {
    this.departed.clear();
    for (const life of image) this.add(life);
  }
}

const keyOf = ({worker, bornAt}: WorkerIncarnation): string =>
  `${bornAt} ${worker}`;
