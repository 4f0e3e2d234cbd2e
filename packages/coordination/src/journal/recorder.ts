/** Keeps the decisions of one VM for `explain` and `replay`. */
import {JournalDb, type CoreName, type TimedNote} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import type {DecisionRecord, Recorder} from '../zone/types.js';

/** Options of the recorder. */
export interface JournalRecorderOptions {
  readonly clock: Clock;
  /** Bytes kept for each core; half of them are one segment. */
  readonly maxBytes: number;
}

const MAX_NOTES = 20_000;

/** Keeps journals in memory, bounded and rotated. */
export class JournalRecorder implements Recorder {
  private readonly db: JournalDb;

  constructor(private readonly options: JournalRecorderOptions) {
    this.db = new JournalDb({
      segmentBytes: options.maxBytes / 2,
      maxNotes: MAX_NOTES,
    });
  }

  start(core: CoreName, options: unknown): void {
    this.db.rotate(core);
    this.db.addLine({kind: 'start', core, options});
  }

  resume(core: CoreName, image: string): void {
    this.db.rotate(core);
    this.db.addLine({kind: 'resume', core, image});
  }

  record({core, event, outcome, notes}: DecisionRecord): void {
    this.db.addLine({kind: 'step', core, event, outcome, notes});
    this.db.addNotes(notes, this.options.clock.wall());
  }

  isFull(core: CoreName): boolean {
    return this.db.isFull(core);
  }

  /** Kept lines of a core, oldest first. */
  getLines(core: CoreName): string[] {
    return this.db.getLines(core);
  }

  /** Kept reasons about a request, job, task or worker. */
  explain(subject: string): TimedNote[] {
    return this.db.getNotes(subject);
  }
}
