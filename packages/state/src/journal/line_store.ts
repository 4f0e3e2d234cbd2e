/** Bytes of a chunk that holds many lines. */
const CHUNK_BYTES = 64 * 1024;
/** Maximum bytes of UTF-8 for one UTF-16 code unit of a string. */
const MAX_UNIT_BYTES = 3;
const NEWLINE = 0x0a;

/** A buffer that is filled from the front; each line ends with a newline. */
interface Chunk {
  readonly bytes: Buffer;
  used: number;
}

/**
 * Lines of text as UTF-8 in buffers outside the heap, so that the garbage
 * collector sees few objects. A line must not contain a newline.
 */
export class LineStore {
  private chunks: Chunk[] = [];
  /** Buffers of cleared chunks, reused for the next lines. */
  private spare: Buffer[] = [];
  private lineCount = 0;
  private usedBytes = 0;

  /** Number of lines. */
  get count(): number {
    return this.lineCount;
  }

  /** Bytes of the lines, including their newlines. */
  get bytes(): number {
    return this.usedBytes;
  }

  /** Adds a line at the end. */
  add(line: string): void {
    const chunk = this.chunkFor(line);
    const end = chunk.used + chunk.bytes.write(line, chunk.used);
    chunk.bytes[end] = NEWLINE;
    this.usedBytes += end + 1 - chunk.used;
    chunk.used = end + 1;
    this.lineCount++;
  }

  /**
   * Drops all lines. Keeps the buffers of `CHUNK_BYTES` that they filled for
   * reuse and releases all others.
   */
  clear(): void {
    this.spare = this.chunks
      .map(({bytes}) => bytes)
      .filter(({length}) => length === CHUNK_BYTES);
    this.chunks = [];
    this.lineCount = 0;
    this.usedBytes = 0;
  }

  /** @returns all lines, oldest first. */
  getLines(): string[] {
    return this.chunks.flatMap(({bytes, used}) =>
      bytes.toString('utf8', 0, used - 1).split('\n'),
    );
  }

  /**
   * @returns the lines that contain a text, not empty and without newlines,
   * oldest first.
   */
  find(text: string): string[] {
    return this.chunks.flatMap(chunk => findInChunk(chunk, text));
  }

  /**
   * @returns the filled parts of the chunks, oldest first; they change with the
   * store.
   */
  getChunks(): Buffer[] {
    return this.chunks.map(({bytes, used}) => bytes.subarray(0, used));
  }

  private chunkFor(line: string): Chunk {
    const last = this.chunks.at(-1);
    if (last && hasRoom(last, line)) return last;
    const chunk = {bytes: this.takeBuffer(line), used: 0};
    this.chunks.push(chunk);
    return chunk;
  }

  /**
   * Takes a spare buffer, or allocates one; a line longer than a chunk gets a
   * buffer of its own.
   */
  private takeBuffer(line: string): Buffer {
    const bytes = Buffer.byteLength(line) + 1;
    if (bytes > CHUNK_BYTES) return Buffer.allocUnsafeSlow(bytes);
    return this.spare.pop() ?? Buffer.allocUnsafeSlow(CHUNK_BYTES);
  }
}

/**
 * Whether a chunk has room for a line; counts the bytes only if the length does
 * not decide it.
 */
const hasRoom = ({bytes, used}: Chunk, line: string): boolean => {
  const free = bytes.length - used - 1;
  if (line.length > free) return false;
  return (
    line.length * MAX_UNIT_BYTES <= free || Buffer.byteLength(line) <= free
  );
};

const findInChunk = ({bytes, used}: Chunk, text: string): string[] => {
  const filled = bytes.subarray(0, used);
  const found: string[] = [];
  let at = filled.indexOf(text);
  while (at >= 0) {
    const begin = filled.lastIndexOf(NEWLINE, at) + 1;
    const end = filled.indexOf(NEWLINE, at);
    found.push(filled.toString('utf8', begin, end));
    at = filled.indexOf(text, end);
  }
  return found;
};
