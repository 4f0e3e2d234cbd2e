/**
 * How long the answer to a call for advice is waited for. How long it should take
 * is known: the call itself and those before it on the same VM, which are served in
 * turn. A connection that has gone silent shows only by this wait.
 */
import type {StepKey, VmId} from '@primrosewick/state';

/** Shortest wait, for slow event loops and adviser alike, in ms. */
const MIN_PATIENCE_MS = 500;
/** A sound adviser may take this many times as long as expected. */
const SLOW_FACTOR = 2;
/** Wait to which repeated calls grow, in ms. */
const MAX_PATIENCE_MS = 4000;
/** Unanswered calls about a step from which on the wait doubles with each. */
const GROWS_AFTER = 1;

/** Calls about a step that were not answered, and the VM that made the last one. */
export interface UnansweredCalls {
  readonly count: number;
  readonly vm: VmId;
}

/**
 * Time to wait for an answer that is expected after `expectedMs`, in ms. The first
 * unanswered call is one more for a silent connection. After the second the adviser
 * may be slow or hung, and it may still serve what was given up: it is waited for
 * ever longer.
 */
export const patienceMs = (
  expectedMs: number,
  unansweredCount: number,
): number => {
  const soundMs = MIN_PATIENCE_MS + SLOW_FACTOR * expectedMs;
  const growth = 2 ** Math.max(0, unansweredCount - GROWS_AFTER);
  return Math.max(soundMs, Math.min(MAX_PATIENCE_MS, growth * soundMs));
};

/** Remembers which steps have calls that were not answered. */
export class UnansweredSteps {
  private readonly calls = new Map<StepKey, UnansweredCalls>();

  get(key: StepKey): UnansweredCalls | undefined {
    return this.calls.get(key);
  }

  /** Notes a call that failed unanswered; `isOverdue` if it was waited out. */
  note(key: StepKey, vm: VmId, isOverdue: boolean): void {
    const count = this.calls.get(key)?.count ?? 0;
    this.calls.set(key, {vm, count: isOverdue ? count + 1 : count});
  }

  /** Forgets the calls about a step that is advised, or is not asked about again. */
  forget(key: StepKey): void {
    this.calls.delete(key);
  }
}
