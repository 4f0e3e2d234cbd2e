/**
 * Chooses the VM that makes a call for advice. Load pattern: a few queues have
 * calls that take hundreds of milliseconds, and one has many short calls whose
 * tasks are awaited by people; each VM's calls are served one at a time.
 */
import type {VmId} from '@primrosewick/state';

/** Calls of one VM that are under way. */
export interface CallerLoad {
  readonly vm: VmId;
  /** Calls under way. */
  callCount: number;
  /** Expected time of the calls under way, in ms. */
  backlogMs: number;
  /** Monotonic time before which other VMs are preferred, in ms. */
  avoidedUntil: number;
}

/** Time for which a VM whose call failed is passed over, in ms. */
const AVOID_MS = 1500;

/** Notes a call that brought no answer. */
export const avoidCaller = (caller: CallerLoad, now: number): void => {
  caller.avoidedUntil = now + AVOID_MS;
};

/** Notes a call that begins. */
export const beginCall = (caller: CallerLoad, costMs: number): void => {
  caller.callCount++;
  caller.backlogMs += costMs;
};

/** Notes a call that has ended. */
export const endCall = (caller: CallerLoad, costMs: number): void => {
  caller.callCount--;
  // Sums of fractions leave a remainder, which must not keep a VM busy.
  caller.backlogMs =
    caller.callCount === 0 ? 0 : Math.max(0, caller.backlogMs - costMs);
};

/** Calls up to this time may queue behind each other at a VM, in ms. */
const SHORT_CALL_MS = 50;
/** Backlog up to which a VM takes another short call, in ms. */
const MAX_SHORT_BACKLOG_MS = 150;
/** Share of the VMs that is kept for short calls. */
const SHORT_SHARE = 0.3;

/** @returns the VM for a call, or undefined when the call should wait. */
export const chooseCaller = (
  all: readonly CallerLoad[],
  costMs: number,
  now: number,
): CallerLoad | undefined => {
  const sound = all.filter(({avoidedUntil}) => now >= avoidedUntil);
  const callers = sound.length > 0 ? sound : all;
  let best: CallerLoad | undefined;
  for (const caller of callers)
    if (!best || caller.backlogMs < best.backlogMs) best = caller;
  if (!best) return undefined;
  if (costMs <= SHORT_CALL_MS)
    return best.backlogMs < MAX_SHORT_BACKLOG_MS ? best : undefined;
  if (best.callCount > 0) return undefined;
  const busyLong = callers.filter(({backlogMs}) => backlogMs > SHORT_CALL_MS);
  const reserved = Math.floor(callers.length * SHORT_SHARE);
  const isFree =
    callers.length === 1 || busyLong.length < callers.length - reserved;
  return isFree ? best : undefined;
};
