/** Collects the parts of a body, at the cost of its bytes and not of its parts. */

/** First capacity, in bytes; ordinary bodies fit, and Node serves it from its pool. */
const FIRST_BYTES = 1024;
/** Capacity from which on a buffer has memory of its own, in bytes. */
const UNPOOLED_BYTES = 4096;

import {noteRead} from './collector.js';

const EMPTY = Buffer.alloc(0);

/** One buffer that doubles when it is full. */
export class GrowingBuffer {
  private bytes = EMPTY;
  private used = 0;
  /** Capacity that `onCapacity` was told. */
  private told = 0;
  private isCleared = false;

  /**
   * @param maxBytes - largest capacity; `append` accepts no more.
   * @param onCapacity - called with the change of the capacity, in bytes.
   */
  constructor(
    private readonly maxBytes: number,
    private readonly onCapacity: (change: number) => void = () => undefined,
  ) {}

  /** Bytes collected. */
  get length(): number {
    return this.used;
  }

  /** Appends a part; false if the body would exceed its limit, or was cleared. */
  append(part: Uint8Array): boolean {
    const needed = this.used + part.length;
    if (needed > this.maxBytes || this.isCleared) return false;
    if (needed > this.bytes.length && !this.grow(needed)) return false;
    this.bytes.set(part, this.used);
    this.used = needed;
    return true;
  }

  /** The bytes collected; nothing may be appended afterwards. */
  take(): Buffer {
    return this.bytes.subarray(0, this.used);
  }

  /** Lets go of the bytes. */
  clear(): void {
    this.isCleared = true;
    this.bytes = EMPTY;
    this.used = 0;
    this.tell(0);
  }

  /** False if the owner cleared the buffer instead, as there is no room. */
  private grow(needed: number): boolean {
    const doubled = Math.max(FIRST_BYTES, this.bytes.length * 2, needed);
    const capacity = Math.min(this.maxBytes, doubled);
    this.tell(capacity);
    if (this.isCleared) return false;
    noteRead(capacity);
    const grown =
      capacity < UNPOOLED_BYTES
        ? Buffer.allocUnsafe(capacity)
        : Buffer.allocUnsafeSlow(capacity);
    grown.set(this.bytes.subarray(0, this.used));
    this.bytes = grown;
    return true;
  }

  private tell(capacity: number): void {
    const change = capacity - this.told;
    this.told = capacity;
    this.onCapacity(change);
  }
}
