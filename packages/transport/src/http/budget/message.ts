/** Request whose body is dropped once it arrives in far too many chunks. */
import {IncomingMessage} from 'node:http';
import {noteRead} from './collector.js';
import {isFragmented} from './core.js';

/** Index of the function that Node's parser calls with each chunk of a body. */
const ON_BODY = 3;

/** The part of Node's parser that is used here. */
interface ChunkParser {
  [ON_BODY]: unknown;
}

/**
 * Node's parser delivers all chunks of a read before any is handled, which are
 * up to 11,000. Those beyond the limit are dropped here; the last one that is
 * delivered makes the reader of the body reject it.
 */
export class BoundedMessage extends IncomingMessage {
  private chunks = 0;
  private bytes = 0;
  private restore: (() => void) | undefined;

  /** @inheritdoc */
  override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
    if (chunk === null) {
      this.restore?.();
      return super.push(chunk, encoding);
    }
    if (this.restore) return true;
    noteRead(chunk.length);
    this.chunks++;
    this.bytes += chunk.length;
    if (isFragmented(this.chunks, this.bytes)) this.dropRest();
    return super.push(chunk, encoding);
  }

  /** Has the parser skip the rest of the body; it is pooled, so this is undone. */
  private dropRest(): void {
    const {parser} = this.socket as {parser?: ChunkParser | null};
    const onBody = parser?.[ON_BODY];
    this.restore = () => {
      if (parser) parser[ON_BODY] = onBody;
    };
    if (!parser) return;
    parser[ON_BODY] = undefined;
    this.socket.once('close', this.restore);
  }
}
