/** Spreads the times at which refused clients come back. */
import {createHash} from 'node:crypto';
import type {WorkflowId} from '../types.js';
import type {RateTerms} from './customer_rate.js';

/** Number of values of the part of a hash that is used. */
const HASH_RANGE = 2 ** 32;

/**
 * Delay within one window that depends only on the id of a submission, in ms.
 * Without it, all clients that were refused in one burst would return together.
 */
export const spreadOf = (id: WorkflowId, {windowMs}: RateTerms): number => {
  const hash = createHash('sha256').update(id).digest().readUInt32BE(0);
  return Math.floor((hash / HASH_RANGE) * windowMs);
};
