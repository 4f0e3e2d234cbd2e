/** Tracks tasks whose start may have been accepted by a worker's next incarnation. */
import {taskKey, type TaskKey, type WorkerId} from '@primrosewick/state';
import type {ExpectedStart} from './start_ledger.js';

/**
 * Time for which a task with a possible orphaned run is held back if no later
 * incarnation is known that could run it, in ms.
 */
const UNKNOWN_LIFE_HOLD_MS = 2500;

/** What is known of the run of a start at the incarnation that follows. */
export type OrphanState =
  /** No later incarnation is registered. */
  | 'no_later_life'
  /** It has not listed its runs yet. */
  | 'unlisted'
  /** It lists the run. */
  | 'runs'
  /** It has listed its runs without that one, and refuses the start from now on. */
  | 'over';

/** Options of {@link OrphanTracker}. */
export interface OrphanTrackerOptions {
  readonly stateOf: (worker: WorkerId, start: ExpectedStart) => OrphanState;
  /** Longest lease of a run, which the leader does not renew before it is listed, in ms. */
  readonly maxLeaseMs: number;
}

/** Starts to an incarnation that is over. */
export interface OrphanedStarts {
  readonly worker: WorkerId;
  readonly starts: readonly ExpectedStart[];
  /** Whether a later incarnation of the worker is known to be there. */
  readonly hasNextLife: boolean;
}

interface Orphan extends Pick<OrphanedStarts, 'worker' | 'hasNextLife'> {
  readonly start: ExpectedStart;
  /** Monotonic time at which the incarnation that it was sent to had ended, in ms. */
  readonly since: number;
}

/** Holds tasks back until any orphaned run of theirs is certain to be over. */
export class OrphanTracker {
  /** By task and worker; a straggler and its copy may both be orphaned. */
  private readonly orphans = new Map<string, Orphan>();

  constructor(private readonly options: OrphanTrackerOptions) {}

  /** Notes starts to an incarnation that has ended, at a monotonic time in ms. */
  note({starts, ...given}: OrphanedStarts, now: number): void {
    for (const start of starts)
      this.orphans.set(`${taskKey(start.task)} ${given.worker}`, {
        ...given,
        start,
        since: now,
      });
  }

  /** Tasks held back at a monotonic time in ms, each with the worker that may run it. */
  heldBack(now: number): Array<readonly [TaskKey, WorkerId]> {
    for (const [key, orphan] of this.orphans)
      if (this.isOver(orphan, now)) this.orphans.delete(key);
    return [...this.orphans.values()].map(({start, worker}) => [
      taskKey(start.task),
      worker,
    ]);
  }

  private isOver({worker, start, since, hasNextLife}: Orphan, now: number) {
    const shortHoldEnd = since + UNKNOWN_LIFE_HOLD_MS;
    const leaseEnd = shortHoldEnd + this.options.maxLeaseMs;
    switch (this.options.stateOf(worker, start)) {
      case 'over':
        return true;
      case 'runs':
        return false;
      case 'unlisted':
        return now >= leaseEnd;
      case 'no_later_life':
        return now >= (hasNextLife ? leaseEnd : shortHoldEnd);
    }
  }
}
