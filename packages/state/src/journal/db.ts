import type {DecisionNote} from '../requests/types.js';
import type {CoreName, JournalLine} from './types.js';

/** Bounds of a journal. */
export interface JournalLimits {
  /** Bytes of the lines of one core after which the next segment begins. */
  readonly segmentBytes: number;
  /** Reasons kept for `explain`. */
  readonly maxNotes: number;
}

/** A reason with the time at which it was given. */
export interface TimedNote extends DecisionNote {
  /** Wall time, in ms since 1970. */
  readonly at: number;
}

/** Lines of one core: the present segment and the one before. */
interface Segments {
  before: string[];
  present: string[];
  presentBytes: number;
}

/** Keeps the latest lines of each core, and the latest reasons by subject. */
export class JournalDb {
  private readonly segments = new Map<CoreName, Segments>();
  private readonly notes: TimedNote[] = [];

  constructor(private readonly limits: JournalLimits) {}

  /** Adds a line. */
  addLine(line: JournalLine): void {
    const text = JSON.stringify(line);
    const segments = this.segmentsOf(line.core);
    segments.present.push(text);
    segments.presentBytes += text.length;
  }

  /** Adds the reasons of a step. */
  addNotes(notes: readonly DecisionNote[], at: number): void {
    for (const note of notes) this.notes.push({...note, at});
    const excess = this.notes.length - 2 * this.limits.maxNotes;
    if (excess > 0)
      this.notes.splice(0, this.notes.length - this.limits.maxNotes);
  }

  /** Whether the present segment of a core has reached its bound. */
  isFull(core: CoreName): boolean {
    return this.segmentsOf(core).presentBytes >= this.limits.segmentBytes;
  }

  /** Begins a new segment and drops the one before the last. */
  rotate(core: CoreName): void {
    const {present} = this.segmentsOf(core);
    this.segments.set(core, {before: present, present: [], presentBytes: 0});
  }

  /** @returns the kept lines of a core, oldest first. */
  getLines(core: CoreName): string[] {
    const {before, present} = this.segmentsOf(core);
    return [...before, ...present];
  }

  /** @returns the kept reasons about a subject or anything that belongs to it. */
  getNotes(subject: string): TimedNote[] {
    return this.notes.filter(
      note =>
        note.subject === subject || note.subject.startsWith(`${subject}.`),
    );
  }

  private segmentsOf(core: CoreName): Segments {
    const known = this.segments.get(core);
    if (known) return known;
    const segments = {before: [], present: [], presentBytes: 0};
    this.segments.set(core, segments);
    return segments;
  }
}
