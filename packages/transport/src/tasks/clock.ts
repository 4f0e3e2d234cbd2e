/** Sources of time. Monotonic time is for deadlines, wall time for records. */
export interface Clock {
  /** Monotonic time, in ms. */
  now(): number;
  /** Wall time, in ms since 1970. */
  wall(): number;
}

/** The clocks of this VM. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
};

/** Waits for a time. */
export const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));
