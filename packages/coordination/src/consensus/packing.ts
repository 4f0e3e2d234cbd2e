/**
 * Packs the entries of appends for the wire. Load pattern: the same entries go
 * to every follower at about the same time, and encoding them is most of what
 * a message costs, so that is done once.
 */
import {decode, encode} from '@msgpack/msgpack';
import {processWork} from '@primrosewick/transport';
import type {ConsensusMessage, Entry, Envelope} from './types.js';

type Append<C> = Extract<ConsensusMessage<C>, {kind: 'append'}>;

/** An envelope whose entries may be encoded already. */
export type PackedEnvelope<C> = Omit<Envelope<C>, 'message'> & {
  readonly message:
    | Exclude<ConsensusMessage<C>, {kind: 'append'}>
    | (Omit<Append<C>, 'entries'> & {readonly entries: Uint8Array});
};

const NO_ENTRIES = new Uint8Array(0);

/** Encodes entries, and remembers the last ones. */
export class EntryPacker<C> {
  private last: ReadonlyArray<Entry<C>> = [];
  private packed = NO_ENTRIES;

  /** Packs an envelope. */
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
      this.packed = processWork.measure('frame', () =>
        encode(entries, {ignoreUndefined: true}),
      );
      this.last = entries;
    }
    return this.packed;
  }
}

/** Takes an envelope out of its packed form. */
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
