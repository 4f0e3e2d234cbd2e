import type {UpstreamId} from '../ids/types.js';
import type {HeldSlots} from './share_table.js';

/**
 * Picks the upstream for a request. Prefers upstreams not tried before, then
 * the shortest round trip, then the most free slots.
 * @param free - upstreams with a free slot.
 * @param tried - upstreams to which the request was sent before.
 */
export const pickShare = (
  free: readonly HeldSlots[],
  tried: ReadonlySet<UpstreamId>,
): HeldSlots | undefined =>
  free.reduce<HeldSlots | undefined>(
    (best, share) => (best && !isBetter(share, best, tried) ? best : share),
    undefined,
  );

const isBetter = (
  share: HeldSlots,
  best: HeldSlots,
  tried: ReadonlySet<UpstreamId>,
): boolean => {
  const isTried = tried.has(share.upstream);
  if (isTried !== tried.has(best.upstream)) return !isTried;
  if (share.roundTripMs !== best.roundTripMs)
    return share.roundTripMs < best.roundTripMs;
  return share.slots - share.attempts.size > best.slots - best.attempts.size;
};
