import {open, mkdir, readFile, rename, type FileHandle} from 'node:fs/promises';
import {createServer, type Server} from 'node:net';
import path from 'node:path';
import {CellError} from '../errors/cell_error.js';
import type {Folder} from './types.js';

/** Permissions of new folders and files: records hold the keys of customers. */
const OWNER_FOLDER_MODE = 0o700;
const OWNER_FILE_MODE = 0o600;
/** Bytes of a part of a file that is read in parts. */
const PART_BYTES = 4 * 1024 * 1024;

const storageError = (step: string, file: string, cause: unknown): CellError =>
  new CellError({
    code: 'storage_failed',
    step,
    peer: file,
    detail: cause instanceof Error ? cause.message : String(cause),
  });

/** A data folder on a disk, held by one process at a time. */
export class NodeFolder implements Folder {
  private readonly handles = new Map<string, FileHandle>();

  private constructor(
    private readonly root: string,
    private readonly lock: Server | null,
  ) {}

  /**
   * Opens a folder and takes its lock.
   * @param root - path of the folder; created if absent.
   * @param options - `lock: 'none'` where the platform gives each folder to one
   *   process and has no abstract sockets.
   * @throws CellError `folder_locked` or `storage_failed`.
   */
  static async open(
    root: string,
    {lock = 'socket'}: {readonly lock?: 'socket' | 'none'} = {},
  ): Promise<NodeFolder> {
    const resolved = path.resolve(root);
    try {
      await mkdir(resolved, {recursive: true, mode: OWNER_FOLDER_MODE});
    } catch (err) {
      throw storageError('make-folder', resolved, err);
    }
    return new NodeFolder(
      resolved,
      lock === 'socket' ? await lockFolder(resolved) : null,
    );
  }

  async read(file: string): Promise<Uint8Array | undefined> {
    try {
      return await readFile(this.pathOf(file));
    } catch (err) {
      if (isNotFound(err)) return undefined;
      throw storageError('read', file, err);
    }
  }

  async *readParts(file: string): AsyncGenerator<Uint8Array> {
    let handle: FileHandle | undefined;
    try {
      handle = await open(this.pathOf(file), 'r');
      for (;;) {
        const {buffer, bytesRead} = await handle.read({
          buffer: Buffer.allocUnsafeSlow(PART_BYTES),
        });
        if (bytesRead === 0) return;
        yield buffer.subarray(0, bytesRead);
      }
    } catch (err) {
      if (!isNotFound(err)) throw storageError('read', file, err);
    } finally {
      await handle?.close();
    }
  }

  async append(file: string, bytes: Uint8Array): Promise<void> {
    try {
      const handle = await this.handleOf(file);
      await handle.appendFile(bytes);
      await handle.datasync();
    } catch (err) {
      throw storageError('append', file, err);
    }
  }

  async truncate(file: string, length: number): Promise<void> {
    try {
      const handle = await this.handleOf(file);
      await handle.truncate(length);
      await handle.sync();
    } catch (err) {
      throw storageError('truncate', file, err);
    }
  }

  async replace(file: string, bytes: Uint8Array): Promise<void> {
    const draft = this.pathOf(`${file}.tmp`);
    try {
      await this.closeHandle(file);
      await writeSynced(draft, bytes);
      await rename(draft, this.pathOf(file));
      await syncFolder(this.root);
    } catch (err) {
      throw storageError('replace', file, err);
    }
  }

  async close(): Promise<void> {
    for (const file of [...this.handles.keys()]) await this.closeHandle(file);
    this.lock?.close();
  }

  private pathOf(file: string): string {
    return path.join(this.root, file);
  }

  private async handleOf(file: string): Promise<FileHandle> {
    const known = this.handles.get(file);
    if (known) return known;
    const handle = await open(this.pathOf(file), 'a', OWNER_FILE_MODE);
    this.handles.set(file, handle);
    await syncFolder(this.root);
    return handle;
  }

  private async closeHandle(file: string): Promise<void> {
    const handle = this.handles.get(file);
    this.handles.delete(file);
    await handle?.close();
  }
}

/**
 * Takes the lock of a folder. An abstract socket is used because the kernel
 * releases it when its process ends, however it ends.
 */
const lockFolder = (root: string): Promise<Server> =>
  new Promise((resolve, reject) => {
    const server = createServer();
    server.unref();
    server.once('error', err => reject(lockError(root, err)));
    server.listen(`\0primrosewick:${root}`, () => resolve(server));
  });

const lockError = (root: string, err: Error): CellError =>
  new CellError({
    code: 'folder_locked',
    step: 'lock-folder',
    peer: root,
    detail: `${root} is used by another process (${err.message})`,
  });

const writeSynced = async (file: string, bytes: Uint8Array): Promise<void> => {
  const handle = await open(file, 'w', OWNER_FILE_MODE);
  try {
    await handle.writeFile(bytes);
    await handle.sync();
  } finally {
    await handle.close();
  }
};

const syncFolder = async (root: string): Promise<void> => {
  const handle = await open(root, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
};

const isNotFound = (err: unknown): boolean =>
  err instanceof Error && 'code' in err && err.code === 'ENOENT';
