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
/** Number of encodings that are kept. */
const MAX_KEPT = 8;
/** Bytes of encodings that are kept; the latest one is kept whatever its size. */
const MAX_KEPT_BYTES = 2 * 1024 * 1024;

/** Entries and their encoding. */
interface PackedEntries<C> {
  readonly entries: ReadonlyArray<Entry<C>>;
  readonly packed: Uint8Array;
}

/** Encodes entries, and caches the last encodings. */
export class EntryPacker<C> {
  private kept: Array<PackedEntries<C>> = [];
  private keptBytes = 0;

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
    const known = this.kept.findLast(other => areSame(other.entries, entries));
    if (known) return known.packed;
    const packed = workMeter.measure('frame', () =>
      encode(entries, {ignoreUndefined: true}),
    );
    this.keep({entries, packed});
    return packed;
  }

  private keep(added: PackedEntries<C>): void {
    this.kept.push(added);
    this.keptBytes += added.packed.length;
    while (this.hasTooMany) this.keptBytes -= this.kept.shift()!.packed.length;
  }

  private get hasTooMany(): boolean {
    const {length} = this.kept;
    return length > MAX_KEPT || (this.keptBytes > MAX_KEPT_BYTES && length > 1);
  }
}

const areSame = <C>(
  entries: ReadonlyArray<Entry<C>>,
  others: ReadonlyArray<Entry<C>>,
): boolean =>
  entries.length === others.length &&
  entries.every((entry, at) => entry === others[at]);

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
