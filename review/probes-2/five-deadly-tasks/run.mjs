/**
 * All tasks of one job crash each minion that starts them, 50 ms after the start was
 * answered; there are five, and each needs most of a minion. The machines are silent,
 * and back after 3 s as new lives of the minions. With TROUBLE=0 the tasks do not
 * crash the minions but fail.
 */
import {playDeadlyTask} from '../../lib-2/deadly.mjs';

await playDeadlyTask({
  directory: new URL('.', import.meta.url),
  awayMs: 3000,
  playMs: 60_000,
  tasks: 5,
  cpu: 20_000,
  crash: crashNow => setTimeout(crashNow, 50),
});
