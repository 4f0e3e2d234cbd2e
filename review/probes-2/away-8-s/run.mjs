/**
 * A task crashes each minion that starts it, 50 ms after the start was answered.
 * The machine is silent, and back after 8 s as a new life of the minion. With
 * TROUBLE=0 the task does not crash the minion but fails.
 */
import {playDeadlyTask} from '../../lib-2/deadly.mjs';

await playDeadlyTask({
  directory: new URL('.', import.meta.url),
  awayMs: 8000,
  playMs: 75_000,
  crash: crashNow => setTimeout(crashNow, 50),
});
