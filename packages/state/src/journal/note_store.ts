import type {DecisionNote} from '../requests/types.js';
import {LineStore} from './line_store.js';

/** A reason for a decision, with its time. */
export interface TimedNote extends DecisionNote {
  /** Wall time, in ms since 1970. */
  readonly at: number;
}

/**
 * The latest reasons: at least `maxNotes` of them and at most twice as many.
 */
export class NoteStore {
  private before = new LineStore();
  private present = new LineStore();

  constructor(private readonly maxNotes: number) {}

  /** Adds the reasons of a step. */
  add(notes: readonly DecisionNote[], at: number): void {
    for (const note of notes) {
      if (this.present.count >= this.maxNotes) this.rotate();
      this.present.add(JSON.stringify({...note, at}));
    }
  }

  /**
   * @returns the kept reasons for a subject and for its parts (`subject.…`).
   */
  find(subject: string): TimedNote[] {
    // Quotes within a JSON string are escaped, so only the field itself matches.
    const field = `"subject":${JSON.stringify(subject).slice(0, -1)}`;
    return [...this.before.find(field), ...this.present.find(field)]
      .map(line => JSON.parse(line) as TimedNote)
      .filter(note => belongsTo(note, subject));
  }

  private rotate(): void {
    const dropped = this.before;
    dropped.clear();
    this.before = this.present;
    this.present = dropped;
  }
}

const belongsTo = (note: TimedNote, subject: string): boolean =>
  note.subject === subject || note.subject.startsWith(`${subject}.`);
