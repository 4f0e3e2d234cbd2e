/**
 * Remembers refused submissions until their clients may return, so that a
 * refusal stays true: an earlier attempt that was delayed on its way must not
 * run after a later one was told that it did not.
 */
import type {WorkflowId} from '@primrosewick/state';

/** Maximum number of remembered refusals; the oldest are forgotten first. */
const MAX_REFUSED = 4096;

/** Refused submissions by workflow. */
export class RefusedSubmissions {
  /** Monotonic time from which a client may return, in ms, in the order of the refusals. */
  private readonly returnAt = new Map<WorkflowId, number>();

  /** Notes a refusal at a monotonic time in ms. */
  note(id: WorkflowId, now: number, retryAfterMs: number): void {
    this.returnAt.delete(id);
    this.returnAt.set(id, now + retryAfterMs);
    for (const oldest of this.returnAt.keys()) {
      if (this.returnAt.size <= MAX_REFUSED) break;
      this.returnAt.delete(oldest);
    }
  }

  /** Time until the client of a submission may return, in ms; 0 if it may now. */
  retryAfterMs(id: WorkflowId, now: number): number {
    const leftMs = (this.returnAt.get(id) ?? now) - now;
    if (leftMs <= 0) this.returnAt.delete(id);
    return Math.max(0, Math.ceil(leftMs));
  }
}
