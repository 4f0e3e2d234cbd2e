/** Journal of the decisions of one VM, for `explain` and `replay`. */
import {JournalDb, type CoreName, type TimedNote} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import type {DecisionRecord, Recorder} from '../zone/types.js';

/** Options of the recorder. */
export interface JournalRecorderOptions {
  readonly clock: Clock;
  /** Bytes kept for each core, in segments of half this size. */
  readonly maxBytes: number;
  /** Maximum bytes of a segment that starts with a large image; by default the normal size. */
  readonly maxSegmentBytes?: number;
}

const MAX_NOTES = 20_000;

/** Keeps journals in memory, with bounded and rotated segments. */
export class JournalRecorder implements Recorder {
  private readonly db: JournalDb;

  constructor(private readonly options: JournalRecorderOptions) {
    const {maxBytes, maxSegmentBytes = maxBytes / 2} = options;
    this.db = new JournalDb({
      segmentBytes: maxBytes / 2,
      maxSegmentBytes,
      maxNotes: MAX_NOTES,
    });
  }

  start(core: CoreName, options: unknown): void {
    this.db.rotate(core);
    this.db.addLine({kind: 'start', core, options});
  }

  resume(core: CoreName, image: Uint8Array): void {
    this.db.rotate(core, image);
  }

  record({core, event, outcome, notes}: DecisionRecord): void {
    this.db.addLine({kind: 'step', core, event, outcome, notes});
    this.db.addNotes(notes, this.options.clock.wall());
  }

  isFull(core: CoreName): boolean {
    return this.db.isFull(core);
  }

  /** Lines of a core, oldest first. */
  getLines(core: CoreName): string[] {
    return this.db.getLines(core);
  }

  /** The same lines as UTF-8, separated by newlines. */
  getBytes(core: CoreName): Buffer {
    return this.db.getBytes(core);
  }

  /** Notes on a request, job, task or worker. */
  explain(subject: string): TimedNote[] {
    return this.db.getNotes(subject);
  }
}
