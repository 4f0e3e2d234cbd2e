/**
 * Clients submit jobs whose text begins with a byte order mark (U+FEFF), as that
 * of a file from some editors does. With TROUBLE=0 the text lacks that first
 * character.
 */
import {fileURLToPath} from 'node:url';
import {Cell} from '../../lib-2/cell.mjs';
import {newId, stateOf, submit} from '../../lib-2/client.mjs';
import {pause} from '../../lib-2/http.mjs';
import {Minion} from '../../lib-2/minion.mjs';
import {config, putConfig, route} from '../../lib-2/operator.mjs';

const PREFIX = '/lohu930/';
const JOBS = 5;
const mark = process.env.TROUBLE === '0' ? '' : '\ufeff';

const cell = new Cell({recordFile: fileURLToPath(new URL('record.txt', import.meta.url))});
const runs = [];

const play = async () => {
  cell.start();
  if (!(await putConfig(cell, config(1, [route('r-a', PREFIX)]), {timeoutMs: 25_000}))) return 2;
  for (let index = 0; index < 3; index++)
    await new Minion({cell, id: `i-${index}`, index, zone: 'nowy-targ', runs}).start();
  if (!(await cell.untilReady())) return 2;
  await pause(2000);
  const sent = new Map();
  for (let i = 0; i < JOBS; i++) {
    const id = newId();
    const spec = `${mark}work 300; garment ${i}; ${'Łowicz skirt, red; '.repeat(12)}`;
    sent.set(id, spec);
    const job = {spec, steps: [{count: 1, cpu: 1000, memMb: 128, estimateMs: 300}]};
    const statuses = await submit(cell, PREFIX, id, job);
    if (statuses.at(-1) !== 200) return 2;
  }
  await pause(4000);
  let broken = 0;
  for (const [id, spec] of sent) {
    const {state} = await stateOf(cell, PREFIX, id);
    const own = runs.filter(({task}) => task.startsWith(id));
    if (own.length === 0) return 2;
    const other = own.filter(run => run.spec !== spec);
    const first = text => `${text.length} characters, the first U+${text.codePointAt(0).toString(16).padStart(4, '0')}`;
    cell.record(`job ${id}: ${state}; sent ${first(spec)}; started with ${own.map(run => first(run.spec)).join(' and ')}`);
    if (other.length > 0) broken++;
  }
  if (broken > 0) cell.record(`UNASKED broken: ${broken} of ${JOBS} jobs were started with another spec`);
  return broken > 0 ? 1 : 0;
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
