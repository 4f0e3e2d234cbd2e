import {CellError} from '../errors/cell_error.js';
import type {CellResult, WriteId, WriteRecord} from './types.js';

const keyOf = (write: WriteId): string => `${write.author}\n${write.requestId}`;

/**
 * Answers kept for resent writes. The oldest are dropped beyond `maxRecords`;
 * a write first sent no later than the newest dropped one is refused as
 * expired, because it can no longer be distinguished from a resend.
 */
export class WriteRecords {
  private readonly records = new Map<string, WriteRecord>();
  private floor = 0;

  constructor(private readonly maxRecords: number) {}

  /**
   * Looks up the answer to a resent write.
   * @returns the first answer, or undefined for a write not seen before.
   * @throws CellError `request_id_expired` or `request_id_reused`.
   */
  getAnswer(write: WriteId, digest: string): CellResult | undefined {
    const record = this.records.get(keyOf(write));
    if (!record) {
      this.checkFloor(write);
      return undefined;
    }
    if (record.digest === digest) return record.result;
    throw new CellError({code: 'request_id_reused', step: 'find-answer'});
  }

  /** Keeps the answer to a write and drops the oldest beyond `maxRecords`. */
  addAnswer(record: WriteRecord): void {
    this.records.set(keyOf(record.write), record);
    while (this.records.size > this.maxRecords) this.dropOldest();
  }

  /** The records in the order in which they were kept. */
  toImage(): {writes: WriteRecord[]; writeFloor: number} {
    return {writes: [...this.records.values()], writeFloor: this.floor};
  }

  /** Replaces the records by those of an image. */
  restore(writes: readonly WriteRecord[], floor: number): void {
    this.records.clear();
    for (const record of writes) this.records.set(keyOf(record.write), record);
    this.floor = floor;
  }

  private checkFloor(write: WriteId): void {
    if (write.firstSentAt > this.floor) return;
    throw new CellError({code: 'request_id_expired', step: 'find-answer'});
  }

  private dropOldest(): void {
    const [key, record] = this.records.entries().next().value ?? [];
    if (key === undefined || !record) return;
    this.records.delete(key);
    this.floor = Math.max(this.floor, record.write.firstSentAt);
  }
}
