/**
 * Writes log lines without ever blocking on the reader: lines are buffered up to
 * a limit while a write is in progress; lines beyond it are dropped and counted.
 */
import {write, writeSync} from 'node:fs';

/** Writes bytes asynchronously and calls back with the number of bytes written. */
export type WriteBytes = (
  bytes: Buffer,
  done: (err: Error | null, written: number) => void,
) => void;

/** Options of `LogSink`. */
export interface LogSinkOptions {
  readonly write: WriteBytes;
  /** Maximum size of the buffered lines, in UTF-16 code units. */
  readonly maxBufferedBytes?: number;
  /** Writes the buffered lines when the process exits; without it they are lost. */
  readonly writeOnExit?: (bytes: Buffer) => void;
  /**
   * Delay for collecting lines before they are written together, in ms; 0 waits
   * for `setImmediate`.
   */
  readonly flushDelayMs?: number;
  /** Formats the line that reports the number of dropped lines. */
  readonly formatDroppedLine?: (count: number) => string;
}

const DEFAULT_MAX_BUFFERED_BYTES = 512 * 1024;
/** Maximum size of one write, in bytes: a pipe takes no more as a whole (`PIPE_BUF`). */
const MAX_WRITE_BYTES = 4096;
const DEFAULT_FLUSH_DELAY_MS = 20;
/** Delay before a failed write is retried, in ms. */
const RETRY_DELAY_MS = 50;

/** Buffered, non-blocking writer of log lines. */
export class LogSink {
  private waiting: string[] = [];
  private bufferedLength = 0;
  private dropped = 0;
  private isWriting = false;
  private readonly maxBufferedBytes: number;

  constructor(private readonly options: LogSinkOptions) {
    this.maxBufferedBytes =
      options.maxBufferedBytes ?? DEFAULT_MAX_BUFFERED_BYTES;
  }

  /** Buffers a line; @returns false if the buffer is full and the line was dropped. */
  write(line: string): boolean {
    if (this.bufferedLength + line.length > this.maxBufferedBytes) {
      this.dropped++;
      return false;
    }
    this.waiting.push(line);
    this.bufferedLength += line.length;
    if (!this.isWriting) {
      this.isWriting = true;
      // Batches lines that arrive together into one write.
      this.scheduleFlush(() => this.flush());
    }
    return true;
  }

  /** Number of lines dropped since the last report of dropped lines. */
  get droppedCount(): number {
    return this.dropped;
  }

  /** Writes the buffered lines; called when the process is about to exit. */
  end(): void {
    const bytes = Buffer.from(this.waiting.join(''));
    this.waiting = [];
    this.bufferedLength = 0;
    if (bytes.length > 0) this.options.writeOnExit?.(bytes);
  }

  private scheduleFlush(then: () => void): void {
    const {flushDelayMs = DEFAULT_FLUSH_DELAY_MS} = this.options;
    if (flushDelayMs === 0) setImmediate(then);
    else setTimeout(then, flushDelayMs);
  }

  private flush(): void {
    const lines = this.waiting;
    if (this.dropped > 0) {
      lines.push(this.formatDropped(this.dropped));
      this.dropped = 0;
    }
    this.waiting = [];
    this.bufferedLength = 0;
    if (lines.length === 0) {
      this.isWriting = false;
      return;
    }
    this.sendAll(packLines(lines));
  }

  private formatDropped(count: number): string {
    const format =
      this.options.formatDroppedLine ??
      ((n: number) => JSON.stringify({change: 'log_dropped', lines: n}) + '\n');
    return format(count);
  }

  /**
   * Sends the chunks together, then the lines that arrived meanwhile. Chunks may
   * overtake each other, but a wait for each would hold back a busy process.
   */
  private sendAll(chunks: readonly Buffer[]): void {
    let unsent = chunks.length;
    for (const chunk of chunks)
      this.send(chunk, () => {
        if (--unsent === 0) this.flush();
      });
  }

  private send(bytes: Buffer, then: () => void): void {
    this.options.write(bytes, (err, written) => {
      const rest = err ? bytes : bytes.subarray(written);
      if (rest.length === 0) return then();
      if (!err) return this.send(rest, then);
      setTimeout(() => this.send(rest, then), RETRY_DELAY_MS).unref();
    });
  }
}

/** Joins lines to chunks of at most `MAX_WRITE_BYTES`; a longer line is a chunk of its own. */
const packLines = (lines: readonly string[]): Buffer[] => {
  const chunks: Buffer[] = [];
  let text = '';
  let size = 0;
  for (const line of lines) {
    const lineSize = Buffer.byteLength(line);
    if (size > 0 && size + lineSize > MAX_WRITE_BYTES) {
      chunks.push(Buffer.from(text));
      text = '';
      size = 0;
    }
    text += line;
    size += lineSize;
  }
  if (size > 0) chunks.push(Buffer.from(text));
  return chunks;
};

const STDOUT_FD = 1;

/** Creates a sink on standard output; a stalled reader does not block the event loop. */
export const stdoutSink = (): LogSink =>
  new LogSink({
    write: (bytes, done) =>
      write(STDOUT_FD, bytes, (err, written) => done(err, written)),
    writeOnExit: bytes => {
      try {
        writeSync(STDOUT_FD, bytes);
      } catch {
        // A stalled reader must not keep the process from exiting.
      }
    },
  });
