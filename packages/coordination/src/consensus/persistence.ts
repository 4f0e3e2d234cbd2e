/**
 * The data folder of a voter: `identity` has the cell and the node id, which is
 * new for each new folder, `snapshot` the state up to an index, `log` one
 * record per sync.
 */
import {randomBytes} from 'node:crypto';
import {decode, encode} from '@msgpack/msgpack';
import {
  CellError,
  RecordReader,
  assertNever,
  decodeRecords,
  encodeRecord,
  encodeRecordOf,
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
  DurableState,
  Snapshot,
  StorageWrite,
} from './types.js';

const IDENTITY_FILE = 'identity';
const SNAPSHOT_FILE = 'snapshot';
const LOG_FILE = 'log';
const FOLDER_ID_BYTES = 6;
const NO_DATA = new Uint8Array(0);
/** Header of up to 255 bytes in MessagePack: its type and their number. */
const BIN8_HEADER_BYTES = 2;
/** Type of up to 4 GiB of bytes in MessagePack, and its header with their number. */
const BIN32_TYPE = 0xc6;
const BIN32_HEADER_BYTES = 5;

/** Identity of a data folder. */
export interface FolderIdentity {
  readonly cell: CellId;
  readonly node: NodeId;
}

/**
 * Reads the identity of a folder; a new folder gets one.
 * @throws CellError `wrong_cell` when the folder belongs to another cell.
 */
export const openIdentity = async (
  folder: Folder,
  cell: CellId,
  vm: VmId,
): Promise<FolderIdentity> => {
  const existing = await readSingleRecord<FolderIdentity>(
    folder,
    IDENTITY_FILE,
  );
  if (existing && existing.cell !== cell) {
    throw new CellError({
      code: 'wrong_cell',
      step: 'open-identity',
      peer: existing.cell,
    });
  }
  if (existing) return existing;
  const identity = {
    cell,
    node: makeNodeId(vm, randomBytes(FOLDER_ID_BYTES).toString('hex')),
  };
  await folder.replace(IDENTITY_FILE, encodeRecord(encode(identity)));
  return identity;
};

/** One change of a file. */
export type FileWrite =
  | {readonly kind: 'append'; readonly file: string; readonly bytes: Uint8Array}
  | {
      readonly kind: 'replace';
      readonly file: string;
      readonly bytes: Uint8Array;
    };

/** State read back from files. */
export interface RestoredState<C> extends DurableState<C> {
  /** Size of the file of the log, in bytes. */
  readonly logFileBytes: number;
}

/** State read back, and the length to truncate the log to if its last record is torn. */
export interface RestoredFiles<C> {
  readonly restored: RestoredState<C>;
  readonly truncateLogTo?: number;
}

/**
 * Reads the state of a voter, and truncates a torn last record of its log.
 * @throws CellError `storage_damaged`.
 */
export const restoreState = async <C>(
  folder: Folder,
): Promise<RestoredState<C>> => {
  const snapshot = decodeSnapshot(await folder.read(SNAPSHOT_FILE));
  const reader = new RecordReader(LOG_FILE);
  const replay = new LogReplay<C>();
  let fileBytes = 0;
  for await (const part of folder.readParts(LOG_FILE)) {
    fileBytes += part.length;
    for (const record of reader.add(part)) replay.add(record);
  }
  const validBytes = reader.end();
  if (validBytes < fileBytes) await folder.truncate(LOG_FILE, validBytes);
  return {...replay.stateAfter(snapshot), logFileBytes: validBytes};
};

/**
 * Reads the state of a voter from the content of its files.
 * @throws CellError `storage_damaged`.
 */
export const restoreFiles = <C>(files: {
  snapshot?: Uint8Array;
  log?: Uint8Array;
}): RestoredFiles<C> => {
  const {log = NO_DATA} = files;
  const {records, validBytes} = decodeRecords(log, LOG_FILE);
  const replay = new LogReplay<C>();
  for (const record of records) replay.add(record);
  const restored = {
    ...replay.stateAfter(decodeSnapshot(files.snapshot)),
    logFileBytes: validBytes,
  };
  return validBytes < log.length
    ? {restored, truncateLogTo: validBytes}
    : {restored};
};

const decodeSnapshot = (bytes: Uint8Array | undefined): Snapshot | null =>
  bytes ? decodeSingleRecord<Snapshot>(bytes, SNAPSHOT_FILE) : null;

/** Writes the state of a voter to its folder, and follows the size of its log. */
export class StateWriter {
  /** @param logFileBytes - size of the file of the log so far, in bytes. */
  constructor(
    private readonly folder: Folder,
    public logFileBytes: number,
  ) {}

  /** Makes writes durable; a snapshot rewrites the log too. */
  async persist<C>(
    writes: ReadonlyArray<StorageWrite<C>>,
    image: () => DurableState<C>,
  ): Promise<void> {
    for (const write of planWrites(writes, image)) await this.write(write);
  }

  private async write({kind, file, bytes}: FileWrite): Promise<void> {
    if (kind === 'append') await this.folder.append(file, bytes);
    else await this.folder.replace(file, bytes);
    if (file !== LOG_FILE) return;
    this.logFileBytes =
      bytes.length + (kind === 'append' ? this.logFileBytes : 0);
  }
}

/** Replaces the whole state. */
export const replaceState = async <C>(
  folder: Folder,
  state: DurableState<C>,
): Promise<void> => {
  for (const {file, bytes} of planImage(state))
    await folder.replace(file, bytes);
};

/** File changes that make writes durable, in order. */
export const planWrites = <C>(
  writes: ReadonlyArray<StorageWrite<C>>,
  image: () => DurableState<C>,
): FileWrite[] => {
  if (writes.some(write => write.kind === 'snapshot'))
    return planImage(image());
  return [{kind: 'append', file: LOG_FILE, bytes: encodeWrites(writes)}];
};

/** File changes that replace the whole state, the snapshot first. */
const planImage = <C>({
  snapshot,
  hardState,
  entries,
}: DurableState<C>): FileWrite[] => {
  const log = encodeWrites<C>([
    {kind: 'hard_state', hardState},
    {kind: 'append', entries},
  ]);
  const logWrite = {kind: 'replace' as const, file: LOG_FILE, bytes: log};
  if (!snapshot) return [logWrite];
  return [
    {
      kind: 'replace',
      file: SNAPSHOT_FILE,
      bytes: encodeSnapshot(snapshot),
    },
    logWrite,
  ];
};

/**
 * Encodes a snapshot with one copy of its data, as they may be large. They are its
 * last field, so that only their header takes the place of that of no data.
 */
const encodeSnapshot = ({data, ...rest}: Snapshot): Uint8Array => {
  const withoutData = encode({...rest, data: NO_DATA});
  const dataHeader = Buffer.alloc(BIN32_HEADER_BYTES);
  dataHeader.writeUInt8(BIN32_TYPE, 0);
  dataHeader.writeUInt32BE(data.length, 1);
  return encodeRecordOf([
    withoutData.subarray(0, -BIN8_HEADER_BYTES),
    dataHeader,
    data,
  ]);
};

/** Encodes the writes of one sync as one record. */
const encodeWrites = <C>(writes: ReadonlyArray<StorageWrite<C>>): Uint8Array =>
  encodeRecord(encode(writes, {ignoreUndefined: true}));

/** The state that the records of a log lead to, which are decoded one by one. */
class LogReplay<C> {
  private hardState: HardState = emptyState<C>().hardState;
  private entries: Array<Entry<C>> = [];

  /** Applies one record. */
  add(record: Uint8Array): void {
    for (const write of decode(record) as Array<StorageWrite<C>>)
      this.apply(write);
  }

  private apply(write: StorageWrite<C>): void {
    switch (write.kind) {
      case 'hard_state':
        this.hardState = write.hardState;
        return;
      case 'truncate':
        this.entries = this.entries.filter(
          entry => entry.index < write.fromIndex,
        );
        return;
      case 'append':
        this.entries = removeFrom(this.entries, write.entries[0]);
        for (const entry of write.entries) this.entries.push(entry);
        return;
      case 'snapshot':
        return;
      default:
        return assertNever(write);
    }
  }

  /** The state of the log, with its entries that follow a snapshot. */
  stateAfter(snapshot: Snapshot | null): DurableState<C> {
    return {
      hardState: this.hardState,
      snapshot,
      entries: entriesAfterSnapshot(snapshot, this.entries),
    };
  }
}

const removeFrom = <C>(
  entries: Array<Entry<C>>,
  first: Entry<C> | undefined,
): Array<Entry<C>> =>
  first && first.index <= (entries.at(-1)?.index ?? 0)
    ? entries.filter(entry => entry.index < first.index)
    : entries;

/** Entries that follow the snapshot; a log that does not continue it is discarded. */
const entriesAfterSnapshot = <C>(
  snapshot: Snapshot | null,
  entries: Array<Entry<C>>,
): Array<Entry<C>> => {
  if (!snapshot) return entries;
  const [first] = entries;
  const atSnapshot = entries.find(entry => entry.index === snapshot.index);
  const isContinuous =
    atSnapshot?.term === snapshot.term || first?.index === snapshot.index + 1;
  return isContinuous
    ? entries.filter(entry => entry.index > snapshot.index)
    : [];
};

const readSingleRecord = async <T>(
  folder: Folder,
  file: string,
): Promise<T | undefined> => {
  const bytes = await folder.read(file);
  return bytes && decodeSingleRecord<T>(bytes, file);
};

const decodeSingleRecord = <T>(bytes: Uint8Array, file: string): T => {
  const {records, validBytes} = decodeRecords(bytes, file);
  const [record] = records;
  if (record && validBytes === bytes.length) return decode(record) as T;
  throw new CellError({
    code: 'storage_damaged',
    step: 'read-file',
    peer: file,
    detail: `${file} is damaged; restore the data folder, or delete it to join as a new node`,
  });
};
