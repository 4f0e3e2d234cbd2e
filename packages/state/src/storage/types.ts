/** Interface of a data folder, so that tests can replace it by a fake. */

/** A folder whose files are made durable explicitly. */
export interface Folder {
  /** @returns the content of a file, or undefined when there is none. */
  read(file: string): Promise<Uint8Array | undefined>;
  /** Reads a file from its start, in parts; there are none without the file. */
  readParts(file: string): AsyncIterable<Uint8Array>;
  /** Appends to a file and syncs it before it resolves. */
  append(file: string, bytes: Uint8Array): Promise<void>;
  /** Cuts a file to a length and syncs it. */
  truncate(file: string, length: number): Promise<void>;
  /** Replaces a file as a whole: after a crash it holds the old or the new. */
  replace(file: string, bytes: Uint8Array): Promise<void>;
  /** Releases the folder. */
  close(): Promise<void>;
}
