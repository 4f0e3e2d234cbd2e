/**
 * Remembers ids that were cancelled before a submission of them was recorded. The
 * submission may still come: it may wait in a process that stands still, or on a
 * link that is cut off. Once the cancellation is acknowledged it must not run.
 */
import type {WorkflowId} from './types.js';

/** Maximum size of all remembered ids, in bytes as `costOf` counts them. */
export const MAX_CANCELLED_BYTES = 1024 * 1024;
/** Size of one beside its text, in an image, in bytes. */
const ENTRY_BYTES = 16;

/** Size of a remembered id, in bytes. */
export const costOf = (id: WorkflowId): number =>
  ENTRY_BYTES + Buffer.byteLength(id);

/** An id and the wall time of its cancellation, in ms since 1970. */
export type CancelledId = readonly [WorkflowId, number];

/** Ids cancelled ahead of their submission, oldest first; bounded in bytes and in time. */
export class CancelledIds {
  private readonly cancelledAt = new Map<WorkflowId, number>();
  private heldBytes = 0;

  /** @param keepMs - time for which an id is remembered, in ms. */
  constructor(readonly keepMs: number) {}

  get size(): number {
    return this.cancelledAt.size;
  }

  /** Size of all remembered ids, in bytes. */
  get bytes(): number {
    return this.heldBytes;
  }

  has(id: WorkflowId): boolean {
    return this.cancelledAt.has(id);
  }

  /**
   * Remembers an id that was cancelled at a wall time in ms.
   * @returns false if there is no room; nothing is forgotten to make some.
   */
  add(id: WorkflowId, at: number): boolean {
    this.removeOld(at);
    if (this.cancelledAt.has(id)) return true;
    const bytes = costOf(id);
    if (this.heldBytes + bytes > MAX_CANCELLED_BYTES) return false;
    this.cancelledAt.set(id, at);
    this.heldBytes += bytes;
    return true;
  }

  /** Forgets ids cancelled `keepMs` ago. */
  removeOld(now: number): void {
    for (const [id, at] of this.cancelledAt) {
      if (at + this.keepMs >= now) return;
      this.cancelledAt.delete(id);
      this.heldBytes -= costOf(id);
    }
  }

  /** All remembered ids, oldest first. */
  values(): CancelledId[] {
    return [...this.cancelledAt];
  }

  /** Replaces all by those of an image; older images have none. */
  restore(image: readonly CancelledId[] = []): void {
    this.cancelledAt.clear();
    this.heldBytes = 0;
    for (const [id, at] of image) this.add(id, at);
  }
}
