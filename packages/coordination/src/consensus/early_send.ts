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

/**
 * Whether a leader's heartbeats may go out during a write: they depend on no
 * vote or term that is being written, and all else is on disk or may be sent early.
 */
export const mayBeatDuring = <C>(
  writes: ReadonlyArray<StorageWrite<C>>,
): boolean =>
  writes.every(({kind}) => kind === 'append' || kind === 'snapshot');
