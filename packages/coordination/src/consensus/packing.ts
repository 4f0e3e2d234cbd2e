/**
 * Encodes the entries of appends for the wire. Load pattern: the same entries
 * go to every follower at about the same time, and encoding them is most of the
 * cost of a message, so it is done once.
 */
import {decode, encode} from '@msgpack/msgpack';
import {workMeter} from '@primrosewick/transport';
import type {ConsensusMessage, Entry, Envelope} from './types.js';

type Append<C> = Extract<ConsensusMessage<C>, {kind: 'append'}>;

/** An envelope in which the entries of an append are already encoded. */
export type PackedEnvelope<C> = Omit<Envelope<C>, 'message'> & {
  readonly message:
    | Exclude<ConsensusMessage<C>, {kind: 'append'}>
    | (Omit<Append<C>, 'entries'> & {readonly entries: Uint8Array});
};

const NO_ENTRIES = new Uint8Array(0);

/** Encodes entries, and caches the last encoding. */
export class EntryPacker<C> {
  private last: ReadonlyArray<Entry<C>> = [];
  private packed = NO_ENTRIES;

  /** Encodes the entries of an envelope. */
  pack({from, to, message}: Envelope<C>): PackedEnvelope<C> {
    if (message.kind !== 'append') return {from, to, message};
    return {
      from,
      to,
      message: {...message, entries: this.encode(message.entries)},
    };
  }

  private encode(entries: ReadonlyArray<Entry<C>>): Uint8Array {
    if (entries.length === 0) return NO_ENTRIES;
    const isSame =
      entries.length === this.last.length &&
      entries.every((entry, at) => entry === this.last[at]);
    if (!isSame) {
      this.packed = workMeter.measure('frame', () =>
        encode(entries, {ignoreUndefined: true}),
      );
      this.last = entries;
    }
    return this.packed;
  }
}

/** Decodes the entries of a packed envelope. */
export const unpackEnvelope = <C>({
  from,
  to,
  message,
}: PackedEnvelope<C>): Envelope<C> => {
  if (message.kind !== 'append') return {from, to, message};
  const entries =
    message.entries.length === 0
      ? []
      : (decode(message.entries) as Array<Entry<C>>);
  return {from, to, message: {...message, entries}};
};
