/** Tells what a leader may send while it still writes. */
import type {Envelope, StorageWrite} from './types.js';

/**
 * Whether followers may be sent entries while the leader still writes them: it
 * counts itself only once they are on its disk, as answers wait for the write.
 * A vote or a term must be on the disk before anything that follows from it.
 */
export const isAppendOnly = <C>(
  writes: ReadonlyArray<StorageWrite<C>>,
): boolean => writes.length > 0 && writes.every(({kind}) => kind === 'append');

/** Only a leader sends appends. */
export const isAppend = <C>({message}: Envelope<C>): boolean =>
  message.kind === 'append';
