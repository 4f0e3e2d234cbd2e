/**
 * Hands what a socket reads to the HTTP parser in slices, so that one read with
 * hundreds of requests or thousands of chunks can be stopped halfway.
 */
import type {Socket} from 'node:net';
import {noteRead} from './collector.js';

/** Bytes that are parsed without a look at what they came to. */
const SLICE_BYTES = 1024;

type OnData = (data: Buffer) => void;

/** Feeds the parser of one connection. */
export class PacedInput {
  /** Bytes that were read and not parsed yet. */
  private rest: Buffer | undefined;
  private isFeeding = false;
  /** Bytes of the buffer that `rest` is a part of. */
  private heldBytes = 0;

  private constructor(
    private readonly socket: Socket,
    private readonly parse: OnData,
    /** Whether more may be parsed now. */
    private readonly mayParse: () => boolean,
    /** Told the change of the bytes that wait to be parsed. */
    private readonly onHeld: (change: number) => void,
  ) {}

  /** Puts itself before the parser that an HTTP server has attached to a socket. */
  static attach(
    socket: Socket,
    mayParse: () => boolean,
    onHeld: (change: number) => void,
  ): PacedInput | undefined {
    const [parse] = socket.listeners('data') as OnData[];
    if (!parse) return undefined;
    const input = new PacedInput(
      socket,
      data => parse.call(socket, data),
      mayParse,
      onHeld,
    );
    socket.removeListener('data', parse);
    socket.on('data', data => input.take(data));
    socket.on('resume', () => input.feed());
    return input;
  }

  /** Bytes that were read and not parsed yet. */
  get restBytes(): number {
    return this.rest?.length ?? 0;
  }

  /** Parses on, as far as may be. */
  private feed(): void {
    if (this.isFeeding) return;
    if (this.rest && this.canParse()) {
      const slice = this.rest.subarray(0, SLICE_BYTES);
      const rest = this.rest.subarray(SLICE_BYTES);
      this.rest = rest.length > 0 ? rest : undefined;
      this.parse(slice);
    }
    if (this.socket.destroyed) this.rest = undefined;
    if (!this.rest) return this.hold(0);
    if (!this.canParse()) return void this.socket.pause();
    // What the slice came to is handled first: bodies flow from the next tick on.
    this.isFeeding = true;
    process.nextTick(() => {
      this.isFeeding = false;
      this.feed();
    });
  }

  private take(data: Buffer): void {
    noteRead(data.length);
    if (!this.rest && data.length <= SLICE_BYTES && this.canParse())
      return this.parse(data);
    this.rest = this.rest ? Buffer.concat([this.rest, data]) : data;
    this.hold(this.rest.length);
    this.feed();
  }

  private hold(bytes: number): void {
    const change = bytes - this.heldBytes;
    this.heldBytes = bytes;
    if (change !== 0) this.onHeld(change);
  }

  private canParse(): boolean {
    return !this.socket.destroyed && !this.socket.isPaused() && this.mayParse();
  }
}
