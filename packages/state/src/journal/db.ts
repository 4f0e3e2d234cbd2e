import type {DecisionNote} from '../requests/types.js';
import {NoteStore, type TimedNote} from './note_store.js';
import {Segment} from './segment.js';
import type {CoreName, JournalLine} from './types.js';

/** Limits of a journal. */
export interface JournalLimits {
  /**
   * Bytes of one core, its image included, after which the next segment begins.
   */
  readonly segmentBytes: number;
  /** Bound of a segment with a large image; `segmentBytes` by default. */
  readonly maxSegmentBytes?: number;
  /** Minimum number of reasons kept for `explain`; up to twice as many are. */
  readonly maxNotes: number;
}

/** Size of a segment as a multiple of its image, up to `maxSegmentBytes`. */
const IMAGE_FACTOR = 5;

/** Current and previous segment of one core. */
interface Segments {
  readonly before: Segment;
  readonly present: Segment;
}

/** Keeps the latest lines of each core, and the latest reasons by subject. */
export class JournalDb {
  private readonly segments = new Map<CoreName, Segments>();
  private readonly notes: NoteStore;

  constructor(private readonly limits: JournalLimits) {
    this.notes = new NoteStore(limits.maxNotes);
  }

  /** Adds a line. */
  addLine(line: JournalLine): void {
    this.segmentsOf(line.core).present.add(line);
  }

  /** Adds the reasons of a step. */
  addNotes(notes: readonly DecisionNote[], at: number): void {
    this.notes.add(notes, at);
  }

  /** Whether the current segment of a core has reached its bound. */
  isFull(core: CoreName): boolean {
    const {present} = this.segmentsOf(core);
    const {segmentBytes, maxSegmentBytes = segmentBytes} = this.limits;
    const bound = Math.max(segmentBytes, IMAGE_FACTOR * present.imageBytes);
    return present.bytes >= Math.min(bound, maxSegmentBytes);
  }

  /**
   * Begins a new segment and drops the one before the previous.
   * @param image - state from which the core continues; kept without a copy.
   */
  rotate(core: CoreName, image: Uint8Array | null = null): void {
    const {before, present} = this.segmentsOf(core);
    before.begin(image);
    this.segments.set(core, {before: present, present: before});
  }

  /** @returns the kept lines of a core, oldest first. */
  getLines(core: CoreName): string[] {
    const {before, present} = this.segmentsOf(core);
    return [...before.getLines(), ...present.getLines()];
  }

  /** @returns the kept lines of a core as UTF-8, with newlines between them. */
  getBytes(core: CoreName): Buffer {
    const {before, present} = this.segmentsOf(core);
    const all = Buffer.concat([...before.getBytes(), ...present.getBytes()]);
    return all.subarray(0, -1);
  }

  /**
   * @returns the kept reasons for a subject and for its parts (`subject.…`).
   */
  getNotes(subject: string): TimedNote[] {
    return this.notes.find(subject);
  }

  private segmentsOf(core: CoreName): Segments {
    const known = this.segments.get(core);
    if (known) return known;
    const segments = {before: new Segment(core), present: new Segment(core)};
    this.segments.set(core, segments);
    return segments;
  }
}
