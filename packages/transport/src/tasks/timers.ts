/**
 * Timers that fire only after pending socket input was read. When the event loop
 * lags, expired timers run before sockets are polled: replies that arrived in
 * time are still unread then and must not count as missing.
 */

/** Handle of a started timer. */
export interface Timer {
  /** Cancels the timer; has no effect once it has ended. */
  cancel(): void;
}

/**
 * Calls `act` once after a delay in ms, after the socket input received by then
 * was read.
 */
export const startTimeout = (delayMs: number, act: () => void): Timer => {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(act);
  }, delayMs);
  return {
    cancel: () => {
      clearTimeout(timer);
      if (immediate) clearImmediate(immediate);
    },
  };
};

/**
 * Calls `act` once per period in ms, after the socket input received by then was
 * read. If `isDue` returns false, `act` is skipped without another iteration of the
 * event loop.
 */
export const startInterval = (
  periodMs: number,
  act: () => void,
  isDue: () => boolean = () => true,
): Timer => {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setInterval(() => {
    if (isDue()) immediate = setImmediate(act);
  }, periodMs);
  return {
    cancel: () => {
      clearInterval(timer);
      if (immediate) clearImmediate(immediate);
    },
  };
};
