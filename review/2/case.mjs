/**
 * A job runs two times. Its first step is a gang on several minions, its second
 * one task. A minion with a member of the gang is cut off while the gang works,
 * and is back some seconds later. Judges MIXED and LOST: the job is shown as
 * `done`, and its second time never runs.
 */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {BROKEN, COULD_NOT_RUN, HELD, jobId, runCase, sleep} from '../lib/cell.mjs';

const MINIONS = 6;
const MEMBERS = 3;
const WORK_MS = 1500;
/** Time between the two times of a job. */
const INTERVAL_MS = 14_000;
/** Of 5.5 s at most, the length of `node_cut` with `servers` in the site file. */
const CUT_MS = 4500;

/** With TROUBLE=0 the same is done without the disruption. */
const trouble = process.env.TROUBLE !== '0';

await runCase(path.dirname(fileURLToPath(import.meta.url)), {}, async cell => {
  if (!(await cell.boot({minions: MINIONS})))
    return [COULD_NOT_RUN, ['the system did not become ready']];
  const firstMs = Date.now() + 1000;
  const job = {
    spec: `gang ${MEMBERS} work ${WORK_MS}`,
    steps: [
      {count: MEMBERS, cpu: 20_000, memMb: 16_000, estimateMs: WORK_MS, gang: true},
      {count: 1, cpu: 14_000, memMb: 4000, estimateMs: WORK_MS, after: [0]},
    ],
    times: 2,
    firstMs,
    intervalMs: INTERVAL_MS,
  };
  const id = jobId();
  const statuses = await cell.submit(id, job);
  if (statuses.at(-1) !== 200) return [COULD_NOT_RUN, [`not accepted: ${statuses}`]];
  const starts = () =>
    cell.minionEvents().filter(({event, task}) => event === 'start' && task.startsWith(`${id}.0.0.`));
  for (let i = 0; i < 120 && starts().length < MEMBERS; i++) await sleep(25);
  if (starts().length < MEMBERS) return [COULD_NOT_RUN, ['the gang did not start']];
  await sleep(700);
  const victim = Number(starts()[0].minion.slice(2));
  if (trouble) {
    cell.tellMinion(victim, 'cut');
    await sleep(CUT_MS);
    cell.tellMinion(victim, 'join');
  } else await sleep(CUT_MS);
  await sleep(2500);
  const ask = async () => {
    const {status, text} = await cell.clientCall(cell.fronts[0], 'GET', `/lohu930/${id}`);
    return status === 200 ? JSON.parse(text).state : `status ${status}`;
  };
  const before = await ask();
  const askedAt = Date.now();
  await sleep(firstMs + INTERVAL_MS + 2 * WORK_MS + 8000 - Date.now());
  const after = await ask();
  const doneOf = k =>
    cell.minionEvents().filter(
      ({event, how, task}) => event === 'end' && how === 'done' && task.startsWith(`${id}.${k}.`),
    ).length;
  const startsOf1 = cell.minionEvents().filter(
    ({event, task}) => event === 'start' && task.startsWith(`${id}.1.`),
  ).length;
  const isWrong = before === 'done' || (after === 'done' && doneOf(1) < MEMBERS + 1);
  const findings = [
    `the second time was due ${((firstMs + INTERVAL_MS - askedAt) / 1000).toFixed(1)} s after the job was shown as ${before}`,
    `at the end it is shown as ${after}; ends "done" of the first time: ${doneOf(0)}, of the second: ${doneOf(1)}; starts of the second: ${startsOf1}`,
  ];
  return [isWrong ? BROKEN : HELD, findings];
});
