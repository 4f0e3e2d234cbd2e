/** Rules for messages that a leader may send before its write is durable. */
import type {Envelope, StorageWrite} from './types.js';

/**
 * Whether followers may be sent entries while the leader still writes them. The
 * leader counts itself only once they are on its disk, as replies wait for the
 * write. A vote or a term must be on disk before any message that depends on it.
 */
export const isAppendOnly = <C>(
  writes: ReadonlyArray<StorageWrite<C>>,
): boolean => writes.length > 0 && writes.every(({kind}) => kind === 'append');

/** Only a leader sends appends. */
export const isAppend = <C>({message}: Envelope<C>): boolean =>
  message.kind === 'append';
