import {CellError} from '../errors/cell_error.js';
import type {CellLimits, KeyAnswer, KeyRecord} from './types.js';

/** Idempotency keys of client requests, kept for `keyRetentionMs`. */
export class KeyTable {
  private readonly keys = new Map<string, KeyRecord>();

  constructor(private readonly limits: CellLimits) {}

  /** @returns the record of a key, or undefined. */
  getKey(key: string): KeyRecord | undefined {
    return this.keys.get(key);
  }

  /**
   * Claims a key for one request.
   * @returns the record and whether this request now owns the key.
   * @throws CellError `key_reused` or `too_many_requests`.
   */
  claimKey(
    key: string,
    claim: KeyRecord,
  ): {record: KeyRecord; claimed: boolean} {
    this.dropExpired(claim.claimedAt);
    this.markOverdueUnknown(key, claim.claimedAt);
    const known = this.keys.get(key);
    if (known && known.digest !== claim.digest) {
      throw new CellError({code: 'key_reused', step: 'claim-key'});
    }
    const isFree = !known || known.answer?.kind === 'not_run';
    if (!isFree)
      return {record: known, claimed: known.claimant === claim.claimant};
    if (!known && this.keys.size >= this.limits.maxKeys) {
      throw new CellError({code: 'too_many_requests', step: 'claim-key'});
    }
    this.keys.delete(key);
    this.keys.set(key, claim);
    return {record: claim, claimed: true};
  }

  /**
   * Records the answer to the request that claimed a key; later answers are
   * ignored.
   */
  settleKey(key: string, claimant: string, answer: KeyAnswer): void {
    const record = this.keys.get(key);
    if (!record || record.answer || record.claimant !== claimant) return;
    this.keys.set(key, {...record, answer});
  }

  /** The records in the order of their claims. */
  toImage(): Array<[string, KeyRecord]> {
    return [...this.keys.entries()];
  }

  /** Replaces the table by the records of an image. */
  restore(keys: ReadonlyArray<readonly [string, KeyRecord]>): void {
    this.keys.clear();
    for (const [key, record] of keys) this.keys.set(key, record);
  }

  /**
   * Sets the answer of an overdue key to `unknown`: its claimant is gone, and
   * the request may have run.
   */
  private markOverdueUnknown(key: string, now: number): void {
    const record = this.keys.get(key);
    if (!record || record.answer || now <= record.settleBy) return;
    this.keys.set(key, {...record, answer: {kind: 'unknown'}});
  }

  private dropExpired(now: number): void {
    for (const [key, record] of this.keys) {
      if (record.claimedAt + this.limits.keyRetentionMs > now) return;
      this.keys.delete(key);
    }
  }
}
