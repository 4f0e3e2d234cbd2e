/** How far the other members are behind a leader, for operators. */
import type {NodeId} from '@primrosewick/state';
import {isBehindSnapshot} from './catch_up.js';
import type {ConsensusContext} from './context.js';

/** How far one member is behind. */
export interface MemberLag {
  readonly member: NodeId;
  /** Entries that it has not acknowledged. */
  readonly entries: number;
  /** Approximate size of those that are not in the snapshot, in bytes. */
  readonly bytes: number;
  /** What it is sent. */
  readonly sending: 'entries' | 'snapshot';
  /** Entries that were sent and are not acknowledged. */
  readonly inFlight: number;
  /** Bytes that it has of the snapshot. */
  readonly snapshotOffset: number;
  /** Size of the snapshot, in bytes. */
  readonly snapshotBytes: number;
  /** Time since its last reply, in ms. */
  readonly silentMs: number;
}

/** How far a learner may be behind when it is promoted. */
const MAX_PROMOTION_LAG = {entries: 64, bytes: 4 * 1024 * 1024};

/** Whether a member lacks more than what is on its way to one that keeps up. */
export const isFarBehind = ({entries, bytes, sending}: MemberLag): boolean =>
  sending === 'snapshot' ||
  entries > MAX_PROMOTION_LAG.entries ||
  bytes > MAX_PROMOTION_LAG.bytes;

/** The learners that have all of the log but the last few entries. */
export const caughtUpNodes = (
  learners: readonly NodeId[],
  lags: readonly MemberLag[],
): ReadonlySet<NodeId> => {
  const late = new Set(lags.filter(isFarBehind).map(({member}) => member));
  return new Set(learners.filter(node => !late.has(node)));
};

/** The members that lack committed entries; none unless the node leads. */
export const memberLags = <C>(context: ConsensusContext<C>): MemberLag[] => {
  const {log, commitIndex, now} = context;
  const lagging = [...context.progress].filter(
    ([, {matchIndex}]) => matchIndex < commitIndex,
  );
  return lagging.map(([member, progress]) => ({
    member,
    entries: commitIndex - progress.matchIndex,
    bytes: log.bytesBetween(progress.matchIndex, commitIndex),
    sending: isBehindSnapshot(context, progress) ? 'snapshot' : 'entries',
    inFlight: Math.max(0, progress.nextIndex - 1 - progress.matchIndex),
    snapshotOffset: progress.snapshotOffset,
    snapshotBytes: log.snapshot?.data.length ?? 0,
    silentMs: now - progress.lastHeardAt,
  }));
};
