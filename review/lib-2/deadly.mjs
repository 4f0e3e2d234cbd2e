/** A cell with a job whose tasks crash each minion that starts them. */
import {fileURLToPath} from 'node:url';
import {Cell} from './cell.mjs';
import {newId, stateOf, submit} from './client.mjs';
import {pause} from './http.mjs';
import {Minion} from './minion.mjs';
import {config, putConfig, route} from './operator.mjs';

const PREFIX = '/lohu930/';
const MINIONS = 10;
/** Crashes after which three more starts break the rule. */
const CRASHES = 3;
const MORE_STARTS = 3;
/** Time between other jobs, in ms. */
const OTHER_JOB_MS = 400;

/**
 * Plays it and ends the process with the exit code of a case.
 * @param tasks - number of deadly tasks of the job, each with `cpu`.
 * @param crash - is given the crash, and lets it happen when the case wants it.
 */
export const playDeadlyTask = async ({directory, awayMs, playMs, tasks = 1, cpu = 1000, crash}) => {
  const hasTrouble = process.env.TROUBLE !== '0';
  const cell = new Cell({recordFile: fileURLToPath(new URL('record.txt', directory))});
  const runs = [];

  const startMinion = async index => {
    const minion = new Minion({cell, id: `i-${index}`, index, zone: 'nowy-targ', runs, onStart});
    minion.index = index;
    await minion.start();
  };
  const crashMinion = async minion => {
    if (!minion.isUp) return;
    minion.goDark('the task has crashed it');
    await pause(awayMs);
    await minion.close();
    await startMinion(minion.index);
  };
  const onStart = (minion, run) => {
    if (run.spec !== 'deadly') return undefined;
    if (hasTrouble) crash(() => void crashMinion(minion));
    else setTimeout(() => minion.end(run, 'failed'), 50);
    return 'taken';
  };

  const play = async () => {
    cell.start();
    const routes = [route('r-a', PREFIX, {attempts: 2})];
    if (!(await putConfig(cell, config(1, routes), {timeoutMs: 25_000}))) return 2;
    for (let index = 0; index < MINIONS; index++) await startMinion(index);
    if (!(await cell.untilReady())) return 2;
    await pause(2000);
    const id = newId();
    const job = (spec, count, cpuEach) => ({
      spec,
      steps: [{count, cpu: cpuEach, memMb: 128, estimateMs: 500}],
    });
    const statuses = await submit(cell, PREFIX, id, job('deadly', tasks, cpu));
    if (statuses.at(-1) !== 200) return 2;
    const until = Date.now() + playMs;
    let state = 'queued';
    while (Date.now() < until && state !== 'failed') {
      if (process.env.OTHERS !== '0') void submit(cell, PREFIX, newId(), job('work 500', 1, 1000));
      await pause(OTHER_JOB_MS);
      ({state} = await stateOf(cell, PREFIX, id));
    }
    const counts = Array.from(
      {length: tasks},
      (_, index) => runs.filter(({task}) => task === `${id}.0.0.${index}`).length,
    );
    cell.record(`starts of each deadly task: ${counts.join(', ')}; the job is shown as ${state}`);
    const most = Math.max(...counts);
    if (most === 0) return 2;
    if (!hasTrouble) return most <= 2 ? 0 : 1;
    const isBroken = most >= CRASHES + MORE_STARTS;
    if (isBroken)
      cell.record(`BUDGET broken: ${most - CRASHES} starts of a task after ${CRASHES} minions had crashed under it`);
    return isBroken ? 1 : 0;
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
};
