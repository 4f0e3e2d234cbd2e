/**
 * The data folder of a voter: `identity` names the folder's birth, `snapshot`
 * holds the state up to an index, `log` holds one record for each sync.
 */
import {randomBytes} from 'node:crypto';
import {decode, encode} from '@msgpack/msgpack';
import {
  CellError,
  decodeRecords,
  encodeRecord,
  makeNodeId,
  type CellId,
  type Folder,
  type NodeId,
  type VmId,
} from '@primrosewick/state';
import {emptyState} from './core.js';
import type {
  Entry,
  HardState,
  Restored,
  Snapshot,
  StorageWrite,
} from './types.js';

const IDENTITY_FILE = 'identity';
const SNAPSHOT_FILE = 'snapshot';
const LOG_FILE = 'log';
const BIRTH_BYTES = 6;

/** Identity of a data folder. */
export interface FolderIdentity {
  readonly cell: CellId;
  readonly node: NodeId;
}

/**
 * Reads the identity of a folder, or gives a new folder one.
 * @throws CellError `wrong_cell` when the folder belongs to another cell.
 */
export const openIdentity = async (
  folder: Folder,
  cell: CellId,
  vm: VmId,
): Promise<FolderIdentity> => {
  const known = await readOne<FolderIdentity>(folder, IDENTITY_FILE);
  if (known && known.cell !== cell) {
    throw new CellError({
      code: 'wrong_cell',
      step: 'open-identity',
      peer: known.cell,
    });
  }
  if (known) return known;
  const identity = {
    cell,
    node: makeNodeId(vm, randomBytes(BIRTH_BYTES).toString('hex')),
  };
  await folder.replace(IDENTITY_FILE, encodeRecord(encode(identity)));
  return identity;
};

/**
 * Reads the state of a voter back, and cuts off a torn last record.
 * @throws CellError `storage_damaged`.
 */
export const restoreState = async <C>(folder: Folder): Promise<Restored<C>> => {
  const snapshot = (await readOne<Snapshot>(folder, SNAPSHOT_FILE)) ?? null;
  const bytes = await folder.read(LOG_FILE);
  if (!bytes) return {...emptyState<C>(), snapshot};
  const {records, soundBytes} = decodeRecords(bytes, LOG_FILE);
  if (soundBytes < bytes.length) await folder.truncate(LOG_FILE, soundBytes);
  return replayRecords(records, snapshot);
};

/** Makes writes durable; a snapshot rewrites the log as well. */
export const persistWrites = async <C>(
  folder: Folder,
  writes: ReadonlyArray<StorageWrite<C>>,
  image: () => Restored<C>,
): Promise<void> => {
  const hasSnapshot = writes.some(write => write.kind === 'snapshot');
  if (!hasSnapshot) return folder.append(LOG_FILE, encodeWrites(writes));
  await replaceState(folder, image());
};

/** Replaces the whole state; the snapshot goes first. */
export const replaceState = async <C>(
  folder: Folder,
  state: Restored<C>,
): Promise<void> => {
  const {snapshot, hardState, entries} = state;
  if (snapshot)
    await folder.replace(SNAPSHOT_FILE, encodeRecord(encode(snapshot)));
  await folder.replace(
    LOG_FILE,
    encodeWrites([
      {kind: 'hard_state', hardState},
      {kind: 'append', entries},
    ]),
  );
};

/** Encodes the writes of one sync as one record. */
const encodeWrites = <C>(writes: ReadonlyArray<StorageWrite<C>>): Uint8Array =>
  encodeRecord(encode(writes, {ignoreUndefined: true}));

const replayRecords = <C>(
  records: readonly Uint8Array[],
  snapshot: Snapshot | null,
): Restored<C> => {
  let hardState: HardState = emptyState<C>().hardState;
  let entries: Array<Entry<C>> = [];
  for (const write of records.flatMap(
    record => decode(record) as Array<StorageWrite<C>>,
  )) {
    if (write.kind === 'hard_state') hardState = write.hardState;
    else if (write.kind === 'truncate')
      entries = entries.filter(entry => entry.index < write.fromIndex);
    else if (write.kind === 'append')
      entries = [...dropFrom(entries, write.entries[0]), ...write.entries];
  }
  return {hardState, snapshot, entries: entriesAfter(snapshot, entries)};
};

const dropFrom = <C>(
  entries: Array<Entry<C>>,
  first: Entry<C> | undefined,
): Array<Entry<C>> =>
  first && first.index <= (entries.at(-1)?.index ?? 0)
    ? entries.filter(entry => entry.index < first.index)
    : entries;

/** Entries that continue the snapshot; those of a replaced log are dropped. */
const entriesAfter = <C>(
  snapshot: Snapshot | null,
  entries: Array<Entry<C>>,
): Array<Entry<C>> => {
  if (!snapshot) return entries;
  const [first] = entries;
  const atSnapshot = entries.find(entry => entry.index === snapshot.index);
  const continues =
    atSnapshot?.term === snapshot.term || first?.index === snapshot.index + 1;
  return continues ? entries.filter(entry => entry.index > snapshot.index) : [];
};

const readOne = async <T>(
  folder: Folder,
  file: string,
): Promise<T | undefined> => {
  const bytes = await folder.read(file);
  if (!bytes) return undefined;
  const {records, soundBytes} = decodeRecords(bytes, file);
  const [record] = records;
  if (record && soundBytes === bytes.length) return decode(record) as T;
  throw new CellError({
    code: 'storage_damaged',
    step: 'read-file',
    peer: file,
    detail: `${file} is damaged; restore the folder or delete it to join anew`,
  });
};
