/**
 * Sizes of log entries, by which messages, memory and files are bounded. Load
 * pattern: most entries have a few hundred bytes, and some, such as a large
 * bundle, more than a thousand of those together.
 */
import type {Entry} from './types.js';

/** Size of a number or of the header of a text, list or map, in bytes. */
const HEADER_BYTES = 5;

/**
 * Approximate size of a plain value as MessagePack, in bytes. It is at least the
 * encoded size, but for 64-bit numbers.
 */
export const estimateBytes = (value: unknown): number => {
  if (typeof value === 'string') return HEADER_BYTES + Buffer.byteLength(value);
  if (typeof value !== 'object' || value === null) return HEADER_BYTES;
  if (value instanceof Uint8Array) return HEADER_BYTES + value.length;
  return HEADER_BYTES + estimateContentBytes(value);
};

const estimateContentBytes = (value: object): number => {
  let bytes = 0;
  if (Array.isArray(value)) {
    for (const item of value) bytes += estimateBytes(item);
    return bytes;
  }
  for (const [key, field] of Object.entries(value))
    bytes += estimateBytes(key) + estimateBytes(field);
  return bytes;
};

/** Approximate encoded size of an entry, in bytes. */
export const estimateEntryBytes = <C>(entry: Entry<C>): number =>
  estimateBytes(entry);
