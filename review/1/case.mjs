/**
 * A worker is cut off for 4.6 s while the tasks of several jobs run on it, and
 * runs on. More than 500 of them end meanwhile. Judges TWICE.
 */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {BROKEN, COULD_NOT_RUN, HELD, jobId, runCase, sleep} from '../lib/cell.mjs';
import {findTwice} from '../lib/twice.mjs';

const MINIONS = 6;
const JOBS = 14;
const TASKS = 50;
const WORK_MS = 3800;
/** At most 5.5 s, the length of `node_cut` with `servers` in the site file. */
const CUT_MS = 4600;

/** With TROUBLE=0 the same is done without the disruption. */
const trouble = process.env.TROUBLE !== '0';

await runCase(path.dirname(fileURLToPath(import.meta.url)), {}, async cell => {
  if (!(await cell.boot({minions: MINIONS})))
    return [COULD_NOT_RUN, ['the system did not become ready']];
  const job = {
    spec: `work ${WORK_MS}`,
    steps: [{count: TASKS, cpu: 40, memMb: 64, estimateMs: WORK_MS}],
  };
  const ids = Array.from({length: JOBS}, jobId);
  await Promise.all(ids.map(id => cell.submit(id, job)));
  const started = () => {
    const counts = new Map();
    for (const {event, minion} of cell.minionEvents())
      if (event === 'start') counts.set(minion, (counts.get(minion) ?? 0) + 1);
    return counts;
  };
  for (let i = 0; i < 40; i++) {
    const sum = [...started().values()].reduce((a, b) => a + b, 0);
    if (sum >= JOBS * TASKS) break;
    await sleep(50);
  }
  const [[busiest, count]] = [...started()].sort((a, b) => b[1] - a[1]);
  const number = Number(busiest.slice(2));
  if (trouble) {
    cell.tellMinion(number, 'cut');
    await sleep(CUT_MS);
    cell.tellMinion(number, 'join');
  } else await sleep(CUT_MS);
  await sleep(16_000);
  for (const id of ids) await cell.clientCall(cell.fronts[0], 'GET', `/lohu930/${id}`);
  const twice = findTwice(cell.minionEvents());
  const findings = [
    `${count} of ${JOBS * TASKS} tasks were started on ${busiest}, which was cut off: ${trouble}`,
    `${twice.length} starts broke TWICE`,
    ...twice.slice(0, 5).map(found => JSON.stringify(found)),
  ];
  return [twice.length > 0 ? BROKEN : HELD, findings];
});
