/**
 * Paces what a leader sends to a member. Load pattern: voters that were cut off
 * for seconds return under a burst; each refuses all heartbeats that waited for
 * it, and lacks thousands of entries.
 */
import type {ConsensusLog} from './log.js';
import type {ConsensusTiming, Progress} from './types.js';

/** What the pace depends on, beside what is known of the member. */
export interface CatchUpView {
  readonly log: Pick<ConsensusLog<never>, 'lastIndex' | 'baseIndex'>;
  readonly timing: ConsensusTiming;
}

/** Whether a member can be told nothing before it has the snapshot. */
export const isBehindSnapshot = (
  {log}: CatchUpView,
  {nextIndex}: Progress,
): boolean => nextIndex <= log.baseIndex;

/** Whether a member lacks more entries than one message holds. */
export const needsSeveralMessages = (
  {log, timing}: CatchUpView,
  {nextIndex}: Progress,
): boolean => log.lastIndex - nextIndex >= timing.maxEntriesPerMessage;

/** Whether a member may be sent entries; one that lacks many gets a message at a time. */
export const canSendMore = (view: CatchUpView, progress: Progress): boolean => {
  const {nextIndex, matchIndex, isCatchingUp} = progress;
  const inFlight = nextIndex - 1 - matchIndex;
  const isOpen = isCatchingUp
    ? inFlight === 0
    : inFlight < view.timing.maxInFlight;
  return (
    isOpen &&
    nextIndex <= view.log.lastIndex &&
    !isBehindSnapshot(view, progress)
  );
};

/**
 * Goes back to where the log of a member ends, as a refusal tells.
 * @param round - the present round; refusals of earlier ones tell nothing new.
 */
export const rewind = (
  view: CatchUpView,
  progress: Progress,
  index: number,
  round: number,
): void => {
  progress.rewindRound = round;
  progress.nextIndex = Math.max(
    progress.matchIndex + 1,
    Math.min(index, view.log.lastIndex + 1),
  );
  progress.isCatchingUp = needsSeveralMessages(view, progress);
};
