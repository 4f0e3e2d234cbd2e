/**
 * The operator removes a route whose prefix lies within that of another route.
 * A client that doesn't know of it hands a job in at the removed route. Judges
 * TWICE: its tasks are started again after they have ended `done`.
 */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {BROKEN, COULD_NOT_RUN, HELD, jobId, makeConfig, makeRoute, runCase, sleep} from '../lib/cell.mjs';
import {findTwice} from '../lib/twice.mjs';

const MINIONS = 6;
const TASKS = 4;
const WORK_MS = 800;
const OUTER = makeRoute();
const INNER = makeRoute({name: 'r-73hh2b9', prefix: '/lohu930/da53/'});

/** With TROUBLE=0 the same is done without the disruption. */
const trouble = process.env.TROUBLE !== '0';

await runCase(path.dirname(fileURLToPath(import.meta.url)), {}, async cell => {
  if (!(await cell.boot({minions: MINIONS, config: makeConfig(1, [OUTER, INNER])})))
    return [COULD_NOT_RUN, ['the system did not become ready']];
  const job = {
    spec: `work ${WORK_MS}`,
    steps: [{count: TASKS, cpu: 2800, memMb: 8000, estimateMs: WORK_MS}],
  };
  const first = jobId();
  const before = await cell.submit(first, job, {prefix: INNER.prefix});
  if (before.at(-1) !== 200) return [COULD_NOT_RUN, [`not accepted: ${before}`]];
  await sleep(3000);
  // The change is acknowledged, and in force everywhere after `configApplyMs`.
  const next = trouble ? [OUTER] : [OUTER, INNER];
  if (!(await cell.putConfig(makeConfig(4, next)))) return [COULD_NOT_RUN, ['not acknowledged']];
  await sleep(4000);
  const id = jobId();
  const statuses = await cell.submit(id, job, {prefix: INNER.prefix});
  const other = jobId();
  await cell.submit(other, job, {prefix: OUTER.prefix});
  await sleep(20_000);
  const ask = async target => {
    const {status, text} = await cell.clientCall(cell.fronts[1], 'GET', target);
    return `${status} ${text?.trim()}`;
  };
  const state = await ask(INNER.prefix + id);
  const otherState = await ask(OUTER.prefix + other);
  const events = cell.minionEvents().filter(({task}) => task?.includes(id));
  const names = new Set(events.map(({task}) => task));
  const count = name => events.filter(({event}) => event === name).length;
  const twice = findTwice(cell.minionEvents());
  const findings = [
    `POST to ${INNER.prefix}${id}, ${trouble ? 'whose route was removed 4 s before' : 'whose route is there'}: ${statuses}; state 20 s later: ${state}; a job of the other route: ${otherState}`,
    `starts: ${count('start')}, ends: ${count('end')}, stops: ${count('stop')}, of the ${names.size} tasks ${[...names].slice(0, 2)} ...`,
    `${twice.length} starts broke TWICE`,
    ...twice.slice(0, 4).map(found => JSON.stringify(found)),
  ];
  return [twice.length > 0 ? BROKEN : HELD, findings];
});
