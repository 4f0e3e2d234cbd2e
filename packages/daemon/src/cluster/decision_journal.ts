/** Journal of the scheduler's decisions while this VM leads. */
import {JournalRecorder} from '@primrosewick/coordination';
import {systemClock} from '@primrosewick/transport';

/** Size of the scheduler's journal while its images are small, in bytes. */
const JOURNAL_BYTES = 6 * 1024 * 1024;
/**
 * Maximum size of one of its two segments, in bytes; more than half the
 * journal, so that large images are written rarely.
 */
const MAX_SEGMENT_BYTES = 9 * 1024 * 1024;

/** Creates an empty journal. */
export const makeDecisionJournal = (): JournalRecorder =>
  new JournalRecorder({
    clock: systemClock,
    maxBytes: JOURNAL_BYTES,
    maxSegmentBytes: MAX_SEGMENT_BYTES,
  });
