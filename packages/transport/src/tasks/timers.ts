/**
 * Timers that come after what has arrived. When a process was late with
 * everything, its due timers run before it reads its sockets: answers that came
 * in time lie there unread, and must not be taken for silence.
 */

/** A timer under way. */
export interface Timer {
  /** Ends it; nothing happens where it has ended. */
  cancel(): void;
}

/** Acts once after a time in ms, when what had arrived by then was read. */
export const startTimeout = (delayMs: number, act: () => void): Timer => {
  let turn: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    turn = setImmediate(act);
  }, delayMs);
  return {
    cancel: () => {
      clearTimeout(timer);
      if (turn) clearImmediate(turn);
    },
  };
};

/**
 * Acts after each period in ms, when what had arrived by then was read. Where
 * `isDue` says that nothing is to be done, the event loop is not turned for it.
 */
export const startInterval = (
  periodMs: number,
  act: () => void,
  isDue: () => boolean = () => true,
): Timer => {
  let turn: NodeJS.Immediate | undefined;
  const timer = setInterval(() => {
    if (isDue()) turn = setImmediate(act);
  }, periodMs);
  return {
    cancel: () => {
      clearInterval(timer);
      if (turn) clearImmediate(turn);
    },
  };
};
