import {createHash} from 'node:crypto';
import {canonicalJson} from '../utils/canonical.js';

/**
 * Digest of plain data, equal for equal data.
 * @param value - plain data without cycles.
 * @returns 32 hexadecimal digits of its SHA-256.
 */
export const digestOf = (value: unknown): string =>
  createHash('sha256').update(canonicalJson(value)).digest('hex').slice(0, 32);
