import {JournalRecorder} from '@primrosewick/coordination';
import {replayJournal, type CoreName} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';

/** Small segments, so that a run writes many images. */
const MAX_BYTES = 40_000;
const CORES: readonly CoreName[] = ['requests', 'placement', 'shares'];

/** Creates the journal recorder of one VM. */
export const makeJournal = (clock: Clock): JournalRecorder =>
  new JournalRecorder({clock, maxBytes: MAX_BYTES});

/**
 * Replays the journal of each core.
 * @throws Error if a replay makes another decision than the recorded one.
 */
export const checkJournal = (recorder: JournalRecorder): void => {
  for (const core of CORES) {
    const result = replayJournal(recorder.getLines(core));
    if (result.kind === 'same') continue;
    throw new Error(
      `replay of ${core} differs at line ${result.line}: recorded ${result.recorded}, replayed ${result.replayed}`,
    );
  }
};
