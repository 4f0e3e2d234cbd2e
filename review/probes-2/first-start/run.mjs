/**
 * A cell starts for the first time. One of its three voters loses power shortly
 * after its start, for good, and an empty one comes 2 s later at another address.
 * With TROUBLE=0 no machine is lost.
 */
import {fileURLToPath} from 'node:url';
import {Cell} from '../../lib-2/cell.mjs';
import {newId, submit} from '../../lib-2/client.mjs';
import {pause} from '../../lib-2/http.mjs';
import {config, putConfig, route} from '../../lib-2/operator.mjs';

const PREFIX = '/lohu930/';
/** Time from its start until the machine is lost, in ms. */
const LOST_AFTER_MS = Number(process.env.LOST_AFTER_MS ?? 300);
/** Time until its successor starts, in ms. */
const SUCCESSOR_MS = 2000;
/** Time for which the operator tries, in ms: several times catchUpS, contactMs and recoveryS together. */
const TRY_MS = 70_000;
const hasTrouble = process.env.TROUBLE !== '0';

const cell = new Cell({recordFile: fileURLToPath(new URL('record.txt', import.meta.url))});

const replaceFirst = async () => {
  const [lost, ...others] = cell.voters;
  await pause(LOST_AFTER_MS);
  await cell.kill(lost);
  cell.wipe(lost);
  await pause(SUCCESSOR_MS);
  const successor = {name: 'voter-4', role: 'voter', zone: lost.zone, ip: `${cell.net}.4`};
  cell.voters = [...others, successor];
  cell.startVm(successor);
};

const play = async () => {
  cell.start();
  if (hasTrouble) await replaceFirst();
  const cfg = config(1, [route('r-a', PREFIX)]);
  if (!(await putConfig(cell, cfg, {timeoutMs: TRY_MS}))) {
    const job = {spec: 'work 300', steps: [{count: 1, cpu: 1000, memMb: 128, estimateMs: 300}]};
    await submit(cell, PREFIX, newId(), job);
    cell.record(`fault: no order is acknowledged and no request served in ${TRY_MS / 1000} s`);
    return hasTrouble ? 1 : 2;
  }
  return (await cell.untilReady()) ? 0 : 2;
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
