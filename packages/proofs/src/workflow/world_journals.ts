/** The planner's journals of all leaderships of a world, and their replay. */
import {JournalRecorder} from '@primrosewick/coordination';
import {replayJournal} from '@primrosewick/state';
import type {VirtualClock} from '../world/process.js';

/** Size of one journal, in bytes. */
const JOURNAL_BYTES = 200_000;

/** Keeps the journals of a world. */
export class WorldJournals {
  private readonly journals: JournalRecorder[] = [];

  /** Begins the journal of a leadership. */
  begin(clock: VirtualClock): JournalRecorder {
    const journal = new JournalRecorder({clock, maxBytes: JOURNAL_BYTES});
    this.journals.push(journal);
    return journal;
  }

  /** Passes that a replay decides otherwise than recorded. */
  differences(): string[] {
    return this.journals.flatMap(journal => {
      const result = replayJournal(journal.getLines('workflows'));
      if (result.kind !== 'different') return [];
      const {line, recorded, replayed} = result;
      return [
        `replay differs at line ${line}: recorded ${recorded}, replayed ${replayed}`,
      ];
    });
  }
}
