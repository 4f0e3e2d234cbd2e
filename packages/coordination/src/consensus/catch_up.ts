/**
 * Flow control of what a leader sends to a member. Load pattern: voters that
 * were cut off for seconds return under a burst; each rejects all heartbeats
 * that were queued for it, and lacks thousands of entries.
 */
import type {ConsensusLog} from './log.js';
import type {ConsensusTiming, Progress} from './types.js';

/** Leader state that the flow control depends on, besides the member's progress. */
export interface CatchUpView {
  readonly log: Pick<
    ConsensusLog<never>,
    'lastIndex' | 'baseIndex' | 'bytesBetween'
  >;
  readonly timing: ConsensusTiming;
}

/** Whether a member needs the snapshot before any entries. */
export const isBehindSnapshot = (
  {log}: CatchUpView,
  {nextIndex}: Progress,
): boolean => nextIndex <= log.baseIndex;

/** Whether a member lacks more entries than fit in one message. */
export const needsSeveralMessages = (
  {log, timing}: CatchUpView,
  {nextIndex}: Progress,
): boolean =>
  log.lastIndex - nextIndex >= timing.maxEntriesPerMessage ||
  log.bytesBetween(nextIndex - 1, log.lastIndex) > timing.maxBytesPerMessage;

/** Whether a member may be sent entries; one that is catching up gets one message at a time. */
export const canSendMore = (view: CatchUpView, progress: Progress): boolean => {
  return (
    progress.nextIndex <= view.log.lastIndex &&
    !isBehindSnapshot(view, progress) &&
    hasWindow(view, progress)
  );
};

const hasWindow = (
  {log, timing}: CatchUpView,
  {nextIndex, matchIndex, isCatchingUp}: Progress,
): boolean => {
  const inFlight = nextIndex - 1 - matchIndex;
  if (isCatchingUp) return inFlight === 0;
  return (
    inFlight < timing.maxInFlight &&
    log.bytesBetween(matchIndex, nextIndex - 1) < timing.maxInFlightBytes
  );
};

/**
 * Moves a member's next index back to the one that its rejection reports.
 * @param round - the current round; from now on, rejections of earlier rounds
 *   are ignored.
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
