/**
 * The disks of two voters are lost, 20 s apart, in a cell whose configuration has
 * 350 routes and was changed 120 times. With TROUBLE=0 no disk is lost.
 */
import {Cell} from '../lib-2/cell.mjs';
import {config, getConfig, putConfig, route} from '../lib-2/operator.mjs';
import {pause} from '../lib-2/http.mjs';
import {fileURLToPath} from 'node:url';

const ROUTES = Number(process.env.ROUTES ?? 350);
const CHANGES = 120;
/** Time that a machine is away with its disk, in ms. */
const AWAY_MS = 3000;
/** Time from the return of the first machine to the loss of the second, in ms: five times catchUpS. */
const BETWEEN_MS = 20_000;
/** Time after the last return for which the operator reads, in ms: beyond recoveryS and contactMs. */
const READ_MS = 30_000;
const hasTrouble = process.env.TROUBLE !== '0';

const cell = new Cell({recordFile: fileURLToPath(new URL('record.txt', import.meta.url))});

const routesOf = (count, change) =>
  Array.from({length: count}, (_, i) =>
    route(`r-${String(i).padStart(5, '0')}`, `/lohu${i}/`, {timeoutMs: i === 0 ? 3000 + change : 3000}),
  );

const loseDisk = async vm => {
  if (!hasTrouble) return pause(AWAY_MS);
  await cell.kill(vm);
  cell.wipe(vm);
  await pause(AWAY_MS);
  cell.startVm(vm);
};

const play = async () => {
  cell.start();
  if (!(await putConfig(cell, config(1, routesOf(3, 0)), {timeoutMs: 25_000}))) return 2;
  if (!(await cell.untilReady())) return 2;
  const last = 1 + CHANGES;
  for (let version = 2; version <= last; version++)
    if (!(await putConfig(cell, config(version, routesOf(ROUTES, version)), {first: version}))) return 2;
  const leader = cell.leader();
  const [first, second] = cell.voters.filter(vm => vm !== leader);
  await loseDisk(first);
  await pause(BETWEEN_MS);
  await loseDisk(second);
  const until = Date.now() + READ_MS;
  for (let i = 0; Date.now() < until; i++) {
    const reply = await getConfig(cell, cell.controls[i % 3]);
    if (reply.status === 200 && reply.body.version === last) {
      cell.record(`the acknowledged version ${last} was read back`);
      return 0;
    }
    if (reply.status === 200) {
      cell.record(`read version ${reply.body.version}, acknowledged was ${last}`);
      return 1;
    }
    await pause(500);
  }
  cell.record(`CONFIG broken: the acknowledged version ${last} does not come`);
  return 1;
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
