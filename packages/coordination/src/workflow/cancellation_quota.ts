/**
 * Decides which cancellations of unknown ids may be recorded. Load pattern: callers
 * that this cell does not control cancel ids that no workflow has, without end, and
 * each is kept for minutes by every voter.
 */
import {
  MAX_CANCELLED_BYTES,
  costOf,
  type WorkflowId,
} from '@primrosewick/state';

/** Who cancels: a customer, or an address of a client. */
export type Canceller = string;

/** Cancellations of one canceller that are kept for about the same time. */
interface KeptBytes {
  readonly canceller: Canceller;
  bytes: number;
  /** Monotonic time until which they are kept, in ms. */
  readonly until: number;
}

/** Cancellations within this time are counted together, in ms. */
const COUNTED_TOGETHER_MS = 1000;

/** Options of {@link CancellationQuota}. */
export interface CancellationQuotaOptions {
  /** Bytes of the ids that the state holds. */
  readonly heldBytes: () => number;
  /** Time for which an id is kept, in ms. */
  readonly keepMs: number;
}

/**
 * Bytes of cancelled ids by who cancelled them, as far as this VM recorded them. A
 * canceller may hold as much as is still free, so one alone fills half of the room,
 * and there is always some left for others.
 */
export class CancellationQuota {
  private readonly bytesOf = new Map<Canceller, number>();
  /** Oldest first. */
  private kept: KeptBytes[] = [];
  /** Bytes of ids that are being recorded. */
  private pendingBytes = 0;

  constructor(private readonly options: CancellationQuotaOptions) {}

  /**
   * Takes a cancellation at a monotonic time in ms.
   * @returns a function to call once it is recorded or has failed; undefined if the
   *   canceller holds too much.
   */
  take(
    id: WorkflowId,
    canceller: Canceller,
    now: number,
  ): ((isRecorded: boolean) => void) | undefined {
    this.forgetOld(now);
    const bytes = costOf(id);
    const freeBytes =
      MAX_CANCELLED_BYTES - this.options.heldBytes() - this.pendingBytes;
    if ((this.bytesOf.get(canceller) ?? 0) + bytes > freeBytes)
      return undefined;
    this.pendingBytes += bytes;
    this.add(canceller, bytes);
    const until = now + this.options.keepMs;
    return isRecorded => {
      this.pendingBytes -= bytes;
      if (isRecorded) this.keep({canceller, bytes, until});
      else this.add(canceller, -bytes);
    };
  }

  private keep(added: KeptBytes): void {
    const last = this.kept.at(-1);
    const isCountedTogether =
      last?.canceller === added.canceller &&
      added.until - last.until < COUNTED_TOGETHER_MS;
    if (isCountedTogether) last.bytes += added.bytes;
    else this.kept.push(added);
  }

  private forgetOld(now: number): void {
    if (this.kept[0] === undefined || this.kept[0].until > now) return;
    for (const {canceller, bytes, until} of this.kept)
      if (until <= now) this.add(canceller, -bytes);
    this.kept = this.kept.filter(({until}) => until > now);
  }

  private add(canceller: Canceller, bytes: number): void {
    const held = (this.bytesOf.get(canceller) ?? 0) + bytes;
    if (held > 0) this.bytesOf.set(canceller, held);
    else this.bytesOf.delete(canceller);
  }
}
