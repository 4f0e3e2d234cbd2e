/**
 * Chooses the VM that makes a call for advice. Load pattern: a few queues have
 * calls that take hundreds of milliseconds, and one has many short calls for
 * interactive tasks; the calls of each VM are served one at a time.
 */
import type {VmId} from '@primrosewick/state';

/** Load of one VM with calls in flight. */
export interface CallerLoad {
  readonly vm: VmId;
  /** Calls in flight. */
  callCount: number;
  /** Estimated duration of the calls in flight, in ms. */
  backlogMs: number;
  /** Monotonic time before which other VMs are preferred, in ms. */
  avoidedUntil: number;
  /** Monotonic time of the first unanswered call since the last answer, in ms. */
  unansweredAt?: number;
}

/** Time for which a VM is avoided after a failed call, in ms. */
const AVOID_MS = 1500;

/** Notes a call that the VM could not make, or one of several without an answer. */
export const avoidCaller = (caller: CallerLoad, now: number): void => {
  caller.avoidedUntil = now + AVOID_MS;
};

/**
 * Notes a call sent at a monotonic time in ms that the adviser did not answer. Its
 * connection may have gone silent, and the VM has closed all such connections since,
 * unlike other VMs. So the VM is avoided only if a later call fails too.
 */
export const noteUnanswered = (
  caller: CallerLoad,
  sentAt: number,
  now: number,
): void => {
  caller.unansweredAt ??= now;
  if (sentAt >= caller.unansweredAt) avoidCaller(caller, now);
};

/** Notes an answer of the adviser. */
export const noteAnswered = (caller: CallerLoad): void => {
  caller.unansweredAt = undefined;
};

/** Notes the start of a call. */
export const beginCall = (caller: CallerLoad, costMs: number): void => {
  caller.callCount++;
  caller.backlogMs += costMs;
};

/** Notes the end of a call. */
export const endCall = (caller: CallerLoad, costMs: number): void => {
  caller.callCount--;
  // Rounding errors of the sum must not make an idle VM look busy.
  caller.backlogMs =
    caller.callCount === 0 ? 0 : Math.max(0, caller.backlogMs - costMs);
};

/** Longest estimated duration of a short call, in ms; short calls may queue at a VM. */
const SHORT_CALL_MS = 50;
/** Backlog below which a VM takes another short call, in ms. */
const MAX_SHORT_BACKLOG_MS = 150;
/** Fraction of the VMs that is reserved for short calls. */
const SHORT_SHARE = 0.3;

/** A call that waits for a VM. */
export interface WaitingCall {
  /** Estimated duration, in ms. */
  readonly costMs: number;
  /** Whether it may use the VMs that are reserved for short calls. */
  readonly mayUseReserved?: boolean;
}

/** Whether a call is short, so that VMs are reserved for it. */
export const isShortCall = (costMs: number): boolean => costMs <= SHORT_CALL_MS;

/** @returns the VM that should make a call, or undefined if the call should wait. */
export const chooseCaller = (
  all: readonly CallerLoad[],
  {costMs, mayUseReserved = false}: WaitingCall,
  now: number,
): CallerLoad | undefined => {
  const healthy = all.filter(({avoidedUntil}) => now >= avoidedUntil);
  const callers = healthy.length > 0 ? healthy : all;
  let best: CallerLoad | undefined;
  for (const caller of callers)
    if (!best || caller.backlogMs < best.backlogMs) best = caller;
  if (!best) return undefined;
  if (isShortCall(costMs))
    return best.backlogMs < MAX_SHORT_BACKLOG_MS ? best : undefined;
  if (best.callCount > 0) return undefined;
  const withLongBacklog = callers.filter(
    ({backlogMs}) => backlogMs > SHORT_CALL_MS,
  );
  const reserved = mayUseReserved
    ? 0
    : Math.floor(callers.length * SHORT_SHARE);
  const mayTakeLongCall =
    callers.length === 1 || withLongBacklog.length < callers.length - reserved;
  return mayTakeLongCall ? best : undefined;
};
