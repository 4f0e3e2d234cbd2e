/**
 * Jobs whose tasks fill (`fills`) need 60,000 MB each, on minions that have 131,072 MB.
 * With TROUBLE=0 the same jobs come without `fills`.
 */
import {fileURLToPath} from 'node:url';
import {Cell} from '../../lib-2/cell.mjs';
import {newId, submit} from '../../lib-2/client.mjs';
import {pause} from '../../lib-2/http.mjs';
import {Minion} from '../../lib-2/minion.mjs';
import {config, putConfig, route} from '../../lib-2/operator.mjs';

const PREFIX = '/lohu930/';
const MINIONS = 3;
const CAPACITY_MB = 131_072;
const TASK_MB = 60_000;
const TASKS = 12;
const fills = process.env.TROUBLE !== '0';

const cell = new Cell({recordFile: fileURLToPath(new URL('record.txt', import.meta.url))});
const runs = [];

const play = async () => {
  cell.start();
  if (!(await putConfig(cell, config(1, [route('r-a', PREFIX)]), {timeoutMs: 25_000}))) return 2;
  const minions = [];
  for (let index = 0; index < MINIONS; index++) {
    const minion = new Minion({cell, id: `i-${index}`, index, zone: 'nowy-targ', runs});
    minions.push(minion);
    await minion.start();
  }
  if (!(await cell.untilReady())) return 2;
  await pause(2000);
  const step = {count: TASKS, cpu: 1000, memMb: TASK_MB, estimateMs: 2000, ...(fills ? {fills} : {})};
  if ((await submit(cell, PREFIX, newId(), {spec: 'work 2000', steps: [step]})).at(-1) !== 200) return 2;
  let most = 0;
  for (let i = 0; i < 100; i++) {
    await pause(100);
    for (const {running} of minions) most = Math.max(most, running.size * TASK_MB);
  }
  if (runs.length === 0) return 2;
  cell.record(`most memory of the tasks on one minion: ${most} MB of ${CAPACITY_MB} MB`);
  if (most > CAPACITY_MB) cell.record('LIMIT broken: starts brought a minion over its capacity');
  return most > CAPACITY_MB ? 1 : 0;
};

let code = 2;
try {
  code = await play();
} catch (err) {
  cell.record(`could not run: ${err.stack}`);
}
await cell.destroy();
console.log(['held', 'broken', 'could not run'][code]);
process.exit(code);
