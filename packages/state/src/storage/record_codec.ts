/**
 * Checksummed records of an append-only file. One record holds everything
 * that one sync makes durable, so that only the last record can be torn.
 *
 * A record is a header of three 32-bit little-endian numbers (length of the
 * payload, CRC-32 of the payload, CRC-32 of the two numbers before) and the
 * payload.
 */
import {crc32} from 'node:zlib';
import {CellError} from '../errors/cell_error.js';

const HEADER_BYTES = 12;
const MAX_RECORD_BYTES = 1 << 30;

/** Records read from a file. */
export interface DecodedRecords {
  readonly records: Uint8Array[];
  /**
   * Length of the valid part of the file, in bytes; the rest is a torn tail.
   */
  readonly validBytes: number;
}

/**
 * Encodes one record.
 * @param payload - content of the record.
 */
export const encodeRecord = (payload: Uint8Array): Uint8Array =>
  encodeRecordOf([payload]);

/**
 * Encodes one record.
 * @param parts - content of the record, in order; a large one is copied once.
 */
export const encodeRecordOf = (parts: readonly Uint8Array[]): Uint8Array => {
  const length = parts.reduce((sum, part) => sum + part.length, 0);
  const record = Buffer.allocUnsafe(HEADER_BYTES + length);
  let end = HEADER_BYTES;
  for (const part of parts) {
    record.set(part, end);
    end += part.length;
  }
  record.writeUInt32LE(length, 0);
  record.writeUInt32LE(crc32(record.subarray(HEADER_BYTES)), 4);
  record.writeUInt32LE(crc32(record.subarray(0, 8)), 8);
  return record;
};

/**
 * Reads all records of a file. An invalid record before a valid one is damage
 * in the middle; without a valid one after it, it is a torn tail.
 * @param bytes - the whole file.
 * @param file - name of the file, for the error.
 * @throws CellError `storage_damaged`.
 */
export const decodeRecords = (
  bytes: Uint8Array,
  file: string,
): DecodedRecords => {
  const reader = new RecordReader(file);
  const records = reader.add(bytes);
  return {records, validBytes: reader.end()};
};

/** Reads the records of a file that comes in parts, as it may be large. */
export class RecordReader {
  /** What follows the records so far: the beginning of one, or none. */
  private rest: Buffer = Buffer.alloc(0);
  private validBytes = 0;

  /** @param file - name of the file, for the error. */
  constructor(private readonly file: string) {}

  /** Adds a part; @returns the records that it completes. */
  add(part: Uint8Array): Uint8Array[] {
    const bytes = Buffer.from(part.buffer, part.byteOffset, part.length);
    const buffer =
      this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes]);
    const records: Uint8Array[] = [];
    let end = 0;
    for (;;) {
      const payload = readRecord(buffer, end);
      if (!payload) break;
      records.push(payload);
      end += HEADER_BYTES + payload.length;
    }
    this.rest = buffer.subarray(end);
    this.validBytes += end;
    return records;
  }

  /**
   * @returns the length of the valid part of the file, in bytes; the rest is a torn tail.
   * @throws CellError `storage_damaged`.
   */
  end(): number {
    if (hasRecordAfter(this.rest, 0))
      throw damagedAt(this.file, this.validBytes);
    return this.validBytes;
  }
}

const readRecord = (buffer: Buffer, offset: number): Buffer | undefined => {
  const start = offset + HEADER_BYTES;
  if (start > buffer.length) return undefined;
  const length = buffer.readUInt32LE(offset);
  const isHeaderValid =
    crc32(buffer.subarray(offset, offset + 8)) ===
    buffer.readUInt32LE(offset + 8);
  if (
    !isHeaderValid ||
    length > MAX_RECORD_BYTES ||
    start + length > buffer.length
  )
    return undefined;
  const payload = buffer.subarray(start, start + length);
  return crc32(payload) === buffer.readUInt32LE(offset + 4)
    ? payload
    : undefined;
};

const hasRecordAfter = (buffer: Buffer, offset: number): boolean => {
  for (let at = offset + 1; at + HEADER_BYTES < buffer.length; at++) {
    if (readRecord(buffer, at)) return true;
  }
  return false;
};

const damagedAt = (file: string, offset: number): CellError =>
  new CellError({
    code: 'storage_damaged',
    step: 'read-records',
    peer: file,
    detail: `${file} is damaged at byte ${offset}, before valid records; restore the data folder, or delete it to join as a new node`,
  });
