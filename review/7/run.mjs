/**
 * A configuration of 2100 routes is changed 400 times, 5 times a second, with
 * hardly any other work in the cell. Processes that end are started again, as the
 * platform does. With TROUBLE=0 the configuration has 21 routes.
 */
import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {Cell} from '../lib-2/cell.mjs';
import {config, getConfig, putConfig, route} from '../lib-2/operator.mjs';
import {pause} from '../lib-2/http.mjs';

const ROUTES = process.env.TROUBLE === '0' ? 21 : 2100;
const CHANGES = 400;
const GAP_MS = 183;
/** Time for which changes are sent, in ms. */
const SEND_MS = 85_000;
const RESTART_MS = 500;
/** Time that is left for an acknowledgement: ackMs and 3 ms a route. */
const ACK_MS = 4000 + 3 * ROUTES;
const READ_MS = 12_000;

const cell = new Cell({recordFile: fileURLToPath(new URL('record.txt', import.meta.url))});
/** Ends of the voters' processes by themselves. */
const ends = new Map(cell.voters.map(({name}) => [name, 0]));
let isOver = false;
for (const vm of cell.voters)
  vm.onExit = () => {
    if (isOver) return;
    ends.set(vm.name, ends.get(vm.name) + 1);
    setTimeout(() => isOver || cell.startVm(vm), RESTART_MS);
  };

const routesOf = change =>
  Array.from({length: ROUTES}, (_, i) =>
    route(`r-${String(i).padStart(5, '0')}`, `/lohu${i}/`, {timeoutMs: i === 0 ? 3000 + change : 3000}),
  );

/** Memory of a process, in MB; undefined once it has ended. */
const memoryOf = vm => {
  try {
    const status = readFileSync(`/proc/${cell.children.get(vm.name).pid}/status`, 'utf8');
    return Math.round(Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]) / 1024);
  } catch {
    return undefined;
  }
};

const memory = () => cell.voters.map(vm => `${vm.name} ${memoryOf(vm) ?? '-'} MB`).join(', ');

const play = async () => {
  cell.start();
  if (!(await putConfig(cell, config(1, routesOf(0)), {timeoutMs: 25_000}))) return 2;
  if (!(await cell.untilReady())) return 2;
  const until = Date.now() + SEND_MS;
  let acked = 1;
  let version = 1;
  while (version <= CHANGES && Date.now() < until) {
    version++;
    const sentAt = Date.now();
    const timeoutMs = Math.min(ACK_MS, until - sentAt);
    if (await putConfig(cell, config(version, routesOf(version)), {first: version, timeoutMs})) acked = version;
    if (version % 50 === 0) cell.record(`memory: ${memory()}`);
    await pause(Math.max(0, sentAt + GAP_MS - Date.now()));
  }
  let read;
  const readUntil = Date.now() + READ_MS;
  for (let i = 0; Date.now() < readUntil && !(read >= acked); i++) {
    read = (await getConfig(cell, cell.controls[i % 3])).body?.version;
    await pause(300);
  }
  isOver = true;
  const counts = [...ends].map(([name, count]) => `${name} ${count}`).join(', ');
  cell.record(`ends by themselves: ${counts}; acknowledged ${acked}, read back ${read}`);
  const often = [...ends.values()].filter(count => count >= 3).length;
  if (often >= 2) cell.record('fault: on half of the core processes ended by themselves three times');
  if (!(read >= acked)) cell.record(`CONFIG broken: the acknowledged version ${acked} does not come`);
  return often >= 2 || !(read >= acked) ? 1 : 0;
};

let code = 2;
try {
  code = await play();
} catch (err) {
  cell.record(`could not run: ${err.stack}`);
}
isOver = true;
await cell.destroy();
console.log(['held', 'broken', 'could not run'][code]);
process.exit(code);
