/** Whether a channel has anything to learn from its worker. */
import type {WorkerState} from '@primrosewick/state';

/** What a channel knows of its worker beside the recorded state. */
export interface ChannelKnowledge {
  /** Whether the lists of its runs are known. */
  readonly isSynced: boolean;
  readonly isLeaving: boolean;
  /** Number of its runs that are not recorded. */
  readonly orphanCount: number;
  /** Sequence number of the last end that it was told is recorded. */
  readonly lastAcked: number;
}

/** Whether a worker needs no calls: it runs nothing, and all of that is settled. */
export const isIdle = (
  state: WorkerState | undefined,
  {isSynced, isLeaving, orphanCount, lastAcked}: ChannelKnowledge,
): boolean => {
  if (!state) return true;
  return (
    isSynced &&
    !isLeaving &&
    state.active.size === 0 &&
    orphanCount === 0 &&
    state.endsRecorded === lastAcked
  );
};
