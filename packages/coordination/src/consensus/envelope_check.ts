/**
 * Checks messages of other VMs before they reach the core, which handles only
 * messages of the right shape: one that it does not know would end the process.
 */
import {unpackEnvelope, type PackedEnvelope} from './packing.js';
import type {ConsensusMessage, Entry, Envelope} from './types.js';

type Fields = Readonly<Record<string, unknown>>;
type Check = (value: unknown) => boolean;

const isCount: Check = value =>
  Number.isSafeInteger(value) && Number(value) >= 0;
const isFlag: Check = value => typeof value === 'boolean';
const isText: Check = value => typeof value === 'string';
const isBytes: Check = value => value instanceof Uint8Array;
const isTexts: Check = value => Array.isArray(value) && value.every(isText);
const isObject = (value: unknown): value is Fields =>
  typeof value === 'object' && value !== null;
const isMembers: Check = value =>
  isObject(value) && isTexts(value['voters']) && isTexts(value['learners']);

/** Fields of each kind of message, besides its term. */
const MESSAGE_FIELDS: Readonly<
  Record<ConsensusMessage<unknown>['kind'], Readonly<Record<string, Check>>>
> = {
  vote_request: {
    lastIndex: isCount,
    lastTerm: isCount,
    isPreVote: isFlag,
    isTransfer: isFlag,
  },
  vote_reply: {isPreVote: isFlag, isGranted: isFlag},
  append: {
    prevIndex: isCount,
    prevTerm: isCount,
    entries: isBytes,
    commitIndex: isCount,
    round: isCount,
  },
  append_reply: {isAccepted: isFlag, index: isCount, round: isCount},
  snapshot_chunk: {
    index: isCount,
    snapshotTerm: isCount,
    members: isMembers,
    offset: isCount,
    chunk: isBytes,
    isLast: isFlag,
    round: isCount,
  },
  snapshot_reply: {index: isCount, nextOffset: isCount, round: isCount},
  transfer: {},
};

const isMessage = (message: unknown): boolean => {
  if (!isObject(message) || !isCount(message['term'])) return false;
  const {kind} = message;
  if (typeof kind !== 'string' || !Object.hasOwn(MESSAGE_FIELDS, kind))
    return false;
  const fields = MESSAGE_FIELDS[kind as ConsensusMessage<unknown>['kind']];
  return Object.entries(fields).every(([name, check]) => check(message[name]));
};

const isBody = (body: unknown): boolean => {
  if (!isObject(body)) return false;
  switch (body['kind']) {
    case 'noop':
      return true;
    case 'command':
      return isObject(body['command']) || isText(body['command']);
    case 'members':
      return isMembers(body['members']);
    default:
      return false;
  }
};

const isEntryAt = (entry: unknown, index: number): boolean =>
  isObject(entry) &&
  isCount(entry['term']) &&
  entry['index'] === index &&
  isBody(entry['body']);

/** Whether entries have the right shape and follow one another. */
const areEntriesAfter = (entries: unknown, prevIndex: number): boolean =>
  Array.isArray(entries) &&
  entries.every((entry, at) => isEntryAt(entry, prevIndex + 1 + at));

/**
 * Decodes an envelope that another VM has sent.
 * @returns undefined for one without the right shape.
 */
export const decodeEnvelope = <C>(packed: unknown): Envelope<C> | undefined => {
  if (!isObject(packed) || !isText(packed['from']) || !isText(packed['to']))
    return undefined;
  if (!isMessage(packed['message'])) return undefined;
  try {
    const envelope = unpackEnvelope(packed as unknown as PackedEnvelope<C>);
    const {message} = envelope;
    if (message.kind !== 'append') return envelope;
    const entries: ReadonlyArray<Entry<C>> = message.entries;
    return areEntriesAfter(entries, message.prevIndex) ? envelope : undefined;
  } catch {
    // Bytes that do not decode to entries.
    return undefined;
  }
};
