import type {DecisionRecord, Recorder} from '@primrosewick/coordination';
import {JournalDb, replayJournal, type CoreName} from '@primrosewick/state';

/** Small segments, so that a run sees many images. */
const SEGMENT_BYTES = 20_000;
const CORES: readonly CoreName[] = ['requests', 'placement', 'shares'];

/** Keeps the journal of one VM, and replays it at the end. */
export class JournalKeeper implements Recorder {
  private readonly db = new JournalDb({
    segmentBytes: SEGMENT_BYTES,
    maxNotes: 100,
  });

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
  }

  isFull(core: CoreName): boolean {
    return this.db.isFull(core);
  }

  /** Throws when a replay decides otherwise. */
  check(): void {
    for (const core of CORES) {
      const result = replayJournal(this.db.getLines(core));
      if (result.kind === 'same') continue;
      throw new Error(
        `replay of ${core} differs at line ${result.line}: ${result.recorded} against ${result.replayed}`,
      );
    }
  }
}
