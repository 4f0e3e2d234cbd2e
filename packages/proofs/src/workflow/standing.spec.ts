import {testSpec, testStep} from '@primrosewick/state/fixtures';
import {expect} from 'chai';
import {runFuzzAsync} from '../fuzz/run_fuzz.js';
import {
  DARK_STORM,
  QUIET_DAY,
  SILENT_DAY,
  SMALL_JOB,
  STANDING_DAYS,
  playDay,
  type StandingDay,
} from './standing_days.js';
import {silencePlan, standingPlan} from './standing_plans.js';
import type {WorkflowWorldOptions} from './world_options.js';
import {WorkflowWorld} from './workflow_world.js';

const RUNS = Number(process.env['FUZZ_RUNS'] ?? 60);
const TIMEOUT_MS = 60_000;
const LEASES_MS = [6000, 10_000];
/** Number of worlds of each day, beside those of the seeds at which it has failed. */
const WORLDS = Math.ceil(RUNS / 10);
/** A seed at which silent connections that are waited out one by one make jobs stand. */
const ONE_BY_ONE_SEED = 1;

/** Duration of runs that outlast the time for which a job may stand, in ms. */
const LONG_RUN_MS = 6000;
const SHORT_RUN_MS = 500;
const BURST = 24;
/** Time for which a job may stand, in ms. */
const MAX_STANDING_MS = 3000;
/** Time until the world counts as calm, in ms. */
const CALM_MS = 8000;

const CHECKED: Partial<WorkflowWorldOptions> = {
  connectionPolicy: 'closed_together',
  refusesWhenDown: true,
  checksStanding: true,
};

/** Seeds at which an end was dropped. */
const TWICE_SEEDS = [12, 15, 20, 29, 32, 39];
const WITHOUT_STANDING: Partial<WorkflowWorldOptions> = {
  checksStanding: false,
  refusesWhenDown: false,
};

const seedsOf = ({seeds = []}: StandingDay): Set<number> =>
  new Set([...seeds, ...Array.from({length: WORLDS}, (_, i) => i + 1)]);

const playWorld = async (
  seed: number,
  day: StandingDay,
  options: Partial<WorkflowWorldOptions>,
): Promise<void> => {
  const world = new WorkflowWorld(seed, {
    ...CHECKED,
    refusesWhenDown: day.isDark !== true,
    ...options,
  });
  await world.start();
  await playDay(world, day, seed);
  await world.settle();
};

const playWorlds = async (
  day: StandingDay,
  maxLeaseMs: number,
): Promise<void> => {
  for (const seed of seedsOf(day)) {
    const note = (err: Error) => {
      throw new Error(`seed ${seed}: ${err.message}`);
    };
    await playWorld(seed, day, {maxLeaseMs}).catch(note);
  }
};

// Guards against LOST: a job has nothing running while a task's turn has come and
// workers are free, as something is waited out that nobody has to wait for.
describe('jobs do not stand while workers are free', () => {
  for (const day of [QUIET_DAY, ...STANDING_DAYS])
    for (const maxLeaseMs of LEASES_MS)
      it(`${day.title}, longest lease ${maxLeaseMs} ms`, () =>
        playWorlds(day, maxLeaseMs)).timeout(TIMEOUT_MS);
  it('connections that go silent at any time, and changes of leader', () =>
    runFuzzAsync(
      silencePlan({
        seed: 7901,
        runs: Math.ceil(RUNS / 2),
        connectionPolicy: 'closed_together',
      }),
    )).timeout(TIMEOUT_MS);
  it('connections that go silent and workers that end, at any time', () =>
    runFuzzAsync(
      standingPlan({
        seed: 9101,
        runs: Math.ceil(RUNS / 2),
        connectionPolicy: 'closed_together',
      }),
    )).timeout(TIMEOUT_MS);
  it('orders over silent connections are settled by a new one within 3 s', async () => {
    for (let seed = 1; seed <= WORLDS; seed++) {
      const world = new WorkflowWorld(seed, {...CHECKED, runMs: SHORT_RUN_MS});
      await world.start();
      for (let i = 0; i < BURST; i++) world.submit(SMALL_JOB);
      await world.advance(CALM_MS);
      world.silenceConnections();
      for (let i = 0; i < BURST; i++) world.submit(SMALL_JOB);
      await world.advance(MAX_STANDING_MS + SHORT_RUN_MS);
      expect(world.phases()).to.not.include('open');
    }
  }).timeout(TIMEOUT_MS);
  it('a small job behind a gang that waits for all workers', async () => {
    const world = new WorkflowWorld(1, {...CHECKED, runMs: LONG_RUN_MS});
    await world.start();
    await world.advance(CALM_MS);
    world.submit(SMALL_JOB);
    await world.advance(300);
    world.submit(wholeCellGang, 'patient');
    world.submit(SMALL_JOB, 'patient');
    await world.advance(4 * LONG_RUN_MS);
    await world.settle();
  }).timeout(TIMEOUT_MS);
});

/** A gang that takes all processor time of all workers. */
const wholeCellGang = testSpec([
  testStep({
    taskCount: 5,
    isGang: true,
    room: {cpuMillis: 4000, memMb: 10, gpus: 0},
    estimateMs: 500,
  }),
]);

// Guards against TWICE: a start that waits for a connection reaches the next life of
// its worker, and a hold of the life before makes that drop the end unrecorded.
describe('starts that wait for a connection', () => {
  for (const maxLeaseMs of LEASES_MS)
    it(`to a worker that goes dark and comes back: nothing runs twice, longest lease ${maxLeaseMs} ms`, async () => {
      for (const seed of [...TWICE_SEEDS, ...seedsOf(DARK_STORM)]) {
        const options = {...CHECKED, maxLeaseMs, ...WITHOUT_STANDING};
        const world = new WorkflowWorld(seed, options);
        await world.start();
        await playDay(world, DARK_STORM, seed);
      }
    }).timeout(TIMEOUT_MS);
});

describe('check for jobs that stand', () => {
  for (const maxLeaseMs of LEASES_MS)
    it(`finds silent connections that are waited out one by one, longest lease ${maxLeaseMs} ms`, async () => {
      const failure = await playWorld(ONE_BY_ONE_SEED, SILENT_DAY, {
        maxLeaseMs,
        connectionPolicy: 'each_by_itself',
      }).catch((err: unknown) => err);
      expect(String(failure)).to.match(/stands at/);
    }).timeout(TIMEOUT_MS);
});
