import type {CoreName, JournalLine} from './types.js';
import {LineStore} from './line_store.js';

/** Lines of a journal that follow an image or the start of one core. */
export class Segment {
  private image: Uint8Array | null = null;
  private readonly lines = new LineStore();

  constructor(private readonly core: CoreName) {}

  /** Bytes of the image. */
  get imageBytes(): number {
    return this.image?.length ?? 0;
  }

  /** Bytes of the image and the lines. */
  get bytes(): number {
    return this.imageBytes + this.lines.bytes;
  }

  /** Clears the segment and starts it again, with an image if one is given. */
  begin(image: Uint8Array | null): void {
    this.image = image;
    this.lines.clear();
  }

  /** Adds a line. */
  add(line: JournalLine): void {
    this.lines.add(JSON.stringify(line));
  }

  /** @returns the lines, oldest first; the image is the first of them. */
  getLines(): string[] {
    return [...this.imageLine(), ...this.lines.getLines()];
  }

  /** @returns the lines as UTF-8, each with its newline, oldest first. */
  getBytes(): Buffer[] {
    const head = this.imageLine().map(line => Buffer.from(`${line}\n`));
    return [...head, ...this.lines.getChunks()];
  }

  private imageLine(): string[] {
    if (!this.image) return [];
    const line: JournalLine = {
      kind: 'resume',
      core: this.core,
      image: Buffer.from(this.image).toString('base64'),
    };
    return [JSON.stringify(line)];
  }
}
