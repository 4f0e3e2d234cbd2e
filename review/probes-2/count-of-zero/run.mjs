/**
 * All minions refuse each start with 503 for a while, as unhealthy ones do. Clients
 * ask how many jobs are pending. With TROUBLE=0 the minions are busy with other
 * tasks instead, so that the jobs wait as well.
 */
import {fileURLToPath} from 'node:url';
import {Cell, HOST} from '../../lib-2/cell.mjs';
import {newId, stateOf, submit} from '../../lib-2/client.mjs';
import {call, pause} from '../../lib-2/http.mjs';
import {Minion} from '../../lib-2/minion.mjs';
import {config, putConfig, route} from '../../lib-2/operator.mjs';

const PREFIX = '/lohu930/';
const MINIONS = 4;
const JOBS = 12;
/** Time after the last job from which the count is judged, in ms: visible_ms and 2 s more. */
const JUDGED_AFTER_MS = 3000 + 2000;
const QUESTIONS = 6;
const hasTrouble = process.env.TROUBLE !== '0';

const cell = new Cell({recordFile: fileURLToPath(new URL('record.txt', import.meta.url))});
const runs = [];
let refused = 0;

class UnhealthyMinion extends Minion {
  startRun(order) {
    if (!hasTrouble) return super.startRun(order);
    refused++;
    cell.record(`minion ${this.id} refuses ${order.task} run ${order.run} with 503`);
    return [503, {}];
  }
}

const job = (spec, cpu) => ({spec, steps: [{count: 1, cpu, memMb: 128, estimateMs: 500}]});

const play = async () => {
  cell.start();
  if (!(await putConfig(cell, config(1, [route('r-a', PREFIX)]), {timeoutMs: 25_000}))) return 2;
  for (let index = 0; index < MINIONS; index++)
    await new UnhealthyMinion({cell, id: `i-${index}`, index, zone: 'nowy-targ', runs}).start();
  if (!(await cell.untilReady())) return 2;
  await pause(2000);
  if (!hasTrouble)
    for (let i = 0; i < MINIONS; i++) await submit(cell, PREFIX, newId(), job('work 60000', 32_000));
  await pause(1000);
  const ids = [];
  for (let i = 0; i < JOBS; i++) {
    const id = newId();
    if ((await submit(cell, PREFIX, id, job('work 500', 1000))).at(-1) === 200) ids.push(id);
  }
  if (ids.length === 0) return 2;
  await pause(JUDGED_AFTER_MS + 500);
  let low = 0;
  for (let i = 0; i < QUESTIONS; i++) {
    const headers = {host: HOST, 'x-deadline-ms': '3000'};
    const address = cell.fronts[i % cell.fronts.length];
    const {status, body} = await call({address, path: PREFIX, headers, timeoutMs: 3000});
    const waiting = ids.filter(id => !runs.some(({task}) => task.startsWith(id))).length;
    cell.record(`count at ${address}: ${status} ${JSON.stringify(body)}; ${waiting} accepted jobs have not begun`);
    if (status === 200 && body.pending < waiting / 2) low++;
    await pause(1000);
  }
  const {state} = await stateOf(cell, PREFIX, ids[0]);
  cell.record(`${refused} starts were refused; the first job is shown as ${state}`);
  if (low > 0) cell.record(`MIXED broken: ${low} of ${QUESTIONS} counts are under half of the jobs that have not begun`);
  return low > 0 ? 1 : 0;
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
