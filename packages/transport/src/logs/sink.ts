/**
 * Writes log lines without ever waiting for the reader: lines are kept up to
 * a bound while a write is under way, and those beyond it are counted.
 */
import {write, writeSync} from 'node:fs';

/** Writes bytes and calls back with the number written. */
export type WriteBytes = (
  bytes: Buffer,
  done: (err: Error | null, written: number) => void,
) => void;

/** Options of a sink. */
export interface LogSinkOptions {
  readonly write: WriteBytes;
  /** Bytes of lines that may wait. */
  readonly maxBufferedBytes?: number;
  /** Writes what waits when the process ends; lines are lost without it. */
  readonly writeOnExit?: (bytes: Buffer) => void;
  /** Time for which lines are gathered before they go out together, in ms. */
  readonly flushDelayMs?: number;
  /** Makes the line that tells how many were dropped. */
  readonly formatDroppedLine?: (count: number) => string;
}

const DEFAULT_MAX_WAITING_BYTES = 512 * 1024;
const DEFAULT_GATHER_MS = 20;
/** Pause before a failed write is tried again, in ms. */
const RETRY_PAUSE_MS = 50;

/** A stream for a logger. */
export class LogSink {
  private waiting: string[] = [];
  private waitingBytes = 0;
  private dropped = 0;
  private isWriting = false;
  private readonly maxWaitingBytes: number;

  constructor(private readonly options: LogSinkOptions) {
    this.maxWaitingBytes =
      options.maxBufferedBytes ?? DEFAULT_MAX_WAITING_BYTES;
  }

  /** Takes a line, or drops it where too many wait. */
  write(line: string): boolean {
    if (this.waitingBytes + line.length > this.maxWaitingBytes) {
      this.dropped++;
      return false;
    }
    this.waiting.push(line);
    this.waitingBytes += line.length;
    if (!this.isWriting) {
      this.isWriting = true;
      // Lines that come together go out in one call.
      this.gather(() => this.flush());
    }
    return true;
  }

  /** Lines dropped since the last that was told. */
  get droppedCount(): number {
    return this.dropped;
  }

  /** Writes what waits, as the process is about to end. */
  end(): void {
    const bytes = Buffer.from(this.waiting.join(''));
    this.waiting = [];
    this.waitingBytes = 0;
    if (bytes.length > 0) this.options.writeOnExit?.(bytes);
  }

  private gather(then: () => void): void {
    const {flushDelayMs: gatherMs = DEFAULT_GATHER_MS} = this.options;
    if (gatherMs === 0) setImmediate(then);
    else setTimeout(then, gatherMs);
  }

  private flush(): void {
    const lines = this.waiting;
    if (this.dropped > 0) {
      lines.push(this.tellDropped(this.dropped));
      this.dropped = 0;
    }
    this.waiting = [];
    this.waitingBytes = 0;
    if (lines.length === 0) {
      this.isWriting = false;
      return;
    }
    this.send(Buffer.from(lines.join('')));
  }

  private tellDropped(count: number): string {
    const tell =
      this.options.formatDroppedLine ??
      ((n: number) => JSON.stringify({change: 'log_dropped', lines: n}) + '\n');
    return tell(count);
  }

  private send(bytes: Buffer): void {
    this.options.write(bytes, (err, written) => {
      const rest = err ? bytes : bytes.subarray(written);
      if (rest.length === 0) return this.flush();
      if (!err) return this.send(rest);
      setTimeout(() => this.send(rest), RETRY_PAUSE_MS).unref();
    });
  }
}

const STDOUT_FD = 1;

/** A sink on standard output; a reader that does not read blocks no event loop. */
export const stdoutSink = (): LogSink =>
  new LogSink({
    write: (bytes, done) =>
      write(STDOUT_FD, bytes, (err, written) => done(err, written)),
    writeOnExit: bytes => {
      try {
        writeSync(STDOUT_FD, bytes);
      } catch {
        // A reader that does not read must not keep the process from ending.
      }
    },
  });
