import {testSpec, testStep} from '@primrosewick/state/fixtures';
import {expect} from 'chai';
import {WorkflowWorld} from './workflow_world.js';

/** Longest time for which a workflow may have no run after its worker is gone, in ms. */
const MAX_STAND_MS = 7000;
const RUN_MS = 2500;
const WORKER_COUNT = 5;
const STEP_MS = 50;
/** Time after which a wait counts as endless, in ms. */
const GIVE_UP_MS = 60_000;
/** Time after which the first leadership no longer waits for what was before it, in ms. */
const SETTLED_MS = 15_000;
/** Time in which a task is ordered, in ms. */
const ORDERED_MS = 150;
/** Time in which a worker answers an order or the first hold of a leader, in ms. */
const ANSWERED_MS = 300;
const IDLE_MS = 100_000;
/** Seed of a world whose first worker to get a task has a clock that is almost 2 % slow. */
const SLOW_CLOCK_SEED = 3;
const SECOND_CHANGE_MS = 4000;
const TASK = testSpec([
  testStep({
    taskCount: 1,
    room: {cpuMillis: 500, memMb: 1, gpus: 0},
    estimateMs: RUN_MS,
  }),
]);

/** The worker that runs the task, if any does. */
const runnerOf = (world: WorkflowWorld): number =>
  Array.from({length: WORKER_COUNT}, (_, i) => i).findIndex(
    i => world.runCountOn(i) > 0,
  );

/** A world in which nothing has run for a while. */
const makeIdleWorld = async (idleMs: number, seed = 1) => {
  const world = new WorkflowWorld(seed, {runMs: RUN_MS});
  await world.start();
  await world.advance(idleMs);
  return world;
};

/** A world in which a task has just begun to run, and its worker. */
const makeRunningTask = async (idleMs: number, seed = 1) => {
  const world = await makeIdleWorld(idleMs, seed);
  world.submit(TASK);
  for (let ms = 0; ms < ORDERED_MS && runnerOf(world) < 0; ms++)
    await world.advance(1);
  const worker = runnerOf(world);
  expect(worker).to.not.equal(-1);
  return {world, worker};
};

/** Time until the task runs again, in ms; at times, the leader is replaced. */
const standOf = async (
  world: WorkflowWorld,
  leaderChangesAt: readonly number[] = [],
): Promise<number> => {
  for (let ms = 0; ms < GIVE_UP_MS; ms += STEP_MS) {
    if (leaderChangesAt.includes(ms)) world.changeLeader(false);
    if (runnerOf(world) >= 0) return ms;
    await world.advance(STEP_MS);
  }
  return GIVE_UP_MS;
};

describe('work of a worker that is gone', () => {
  it('runs elsewhere in time if the leader stays', async () => {
    const {world, worker} = await makeRunningTask(SETTLED_MS);
    await world.advance(ANSWERED_MS);
    world.crashWorker(worker);
    expect(await standOf(world)).to.be.below(MAX_STAND_MS);
  });
  // LOST: the lease that a start grants is longer by all that the clock of an idle
  // worker may have lagged since it was last read, or lagged.
  it('runs elsewhere in time if a worker with a slow clock was idle for 100 s before', async () => {
    const {world, worker} = await makeRunningTask(IDLE_MS, SLOW_CLOCK_SEED);
    await world.advance(ANSWERED_MS);
    world.crashWorker(worker);
    expect(await standOf(world)).to.be.below(MAX_STAND_MS);
  });
  it('runs elsewhere in time if the first start after 100 s is lost with its worker', async () => {
    // The same seed chooses the same worker.
    const {worker} = await makeRunningTask(IDLE_MS);
    const world = await makeIdleWorld(IDLE_MS);
    world.submit(TASK);
    world.muteWorker(worker, GIVE_UP_MS);
    world.crashWorker(worker);
    expect(await standOf(world)).to.be.below(MAX_STAND_MS);
  });
  // LOST: what an earlier leader granted counts as the longest lease that a worker
  // takes, from the first list that the new leader gets.
  it('runs elsewhere in time if the worker ends soon after it answered a new leader', async () => {
    const {world, worker} = await makeRunningTask(SETTLED_MS);
    world.changeLeader(false);
    await world.advance(ANSWERED_MS);
    world.crashWorker(worker);
    expect(await standOf(world)).to.be.below(MAX_STAND_MS);
  });
  // LOST: a new leader waits for the longest lease that a worker takes, not for
  // the longest that any leader grants.
  it('runs elsewhere in time if the leader is replaced at that moment', async () => {
    const {world, worker} = await makeRunningTask(SETTLED_MS);
    await world.advance(ANSWERED_MS);
    world.crashWorker(worker);
    expect(await standOf(world, [0])).to.be.below(MAX_STAND_MS);
  });
  // LOST: each new leader waits anew, though none of them has renewed the lease.
  it('runs elsewhere in time, counted from the first of two changes of leader', async () => {
    const {world, worker} = await makeRunningTask(SETTLED_MS);
    await world.advance(ANSWERED_MS);
    world.crashWorker(worker);
    const stoodMs = await standOf(world, [0, SECOND_CHANGE_MS]);
    expect(stoodMs).to.be.below(MAX_STAND_MS + STEP_MS);
  });
  // LOST: a start that the next life of a worker may have had is held back for its
  // longest lease and 2.5 s more, though that life is gone as well.
  it('runs elsewhere in time if the next life of its worker ends at once too', async () => {
    const {worker} = await makeRunningTask(SETTLED_MS);
    const world = await makeIdleWorld(SETTLED_MS);
    world.submit(TASK);
    world.muteWorker(worker, 2 * ANSWERED_MS);
    await world.advance(ORDERED_MS);
    world.crashWorker(worker);
    await world.advance(2 * ANSWERED_MS - ORDERED_MS);
    world.restartWorker(worker);
    await world.advance(ANSWERED_MS);
    world.muteWorker(worker, GIVE_UP_MS);
    world.crashWorker(worker);
    expect(await standOf(world)).to.be.below(MAX_STAND_MS);
  });
});
