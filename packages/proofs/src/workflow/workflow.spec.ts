import {testSpec, testStep} from '@primrosewick/state/fixtures';
import {expect} from 'chai';
import {runFuzzAsync} from '../fuzz/run_fuzz.js';
import {
  customersPlan,
  deadlyPlan,
  earlyAdvicePlan,
  goodbyePlan,
  repeatedPlan,
  shortListsPlan,
  wordsPlan,
  workflowPlan,
} from './plans.js';
import {WorkflowWorld} from './workflow_world.js';

const RUNS = Number(process.env['FUZZ_RUNS'] ?? 60);

const oneStep = testSpec([
  testStep({
    taskCount: 5,
    room: {cpuMillis: 4000, memMb: 1, gpus: 0},
    estimateMs: 1,
  }),
]);

describe('scheduler under faults', () => {
  it('tasks of a worker that never comes back run on another worker', async () => {
    const world = new WorkflowWorld(1);
    await world.start();
    world.submit(oneStep);
    await world.advance(80);
    world.crashWorker(0);
    await world.advance(40_000);
    expect(world.phases()).to.eql(['done']);
  }).timeout(60_000);
  it('a task crashes two workers, and not one after the other until the end', async () => {
    const world = new WorkflowWorld(1);
    await world.start();
    world.submitDeadly(oneStep, 'urgent', {step: 0, index: 0});
    await world.advance(40_000);
    expect(world.phases()).to.eql(['failed']);
    expect(world.oracle.crashCount).to.equal(2);
  }).timeout(60_000);
  it('tasks that crash their workers are bounded, and no others are given up', () =>
    runFuzzAsync(deadlyPlan(7201, RUNS))).timeout(600_000);
  it('one leadership after the other keeps the guarantees for tasks', () =>
    runFuzzAsync(workflowPlan(7101, RUNS))).timeout(600_000);
  // Guards against workflows that are shown as done before all their
  // occurrences have run.
  it('a workflow whose steps run several times is done after the last time', () =>
    runFuzzAsync(repeatedPlan(7501, Math.ceil(RUNS / 3)))).timeout(600_000);
  // Guards against a customer that runs more than its cap allows, as its runs on
  // silent workers, or of a former leader, are not counted.
  it('no customer runs more than its cap allows', () =>
    runFuzzAsync(customersPlan(7901, Math.ceil(RUNS / 2)))).timeout(600_000);
  // Guards against TWICE: runs that are taken for never started, as their ends
  // were beyond the end of a list.
  it('lists that hold two ends at a time keep them too', () =>
    runFuzzAsync(shortListsPlan(7601, Math.ceil(RUNS / 3)))).timeout(600_000);
  it('advice that is asked for before a workflow is recorded keeps them too', () =>
    runFuzzAsync(earlyAdvicePlan(7301, Math.ceil(RUNS / 3)))).timeout(600_000);
  // Guards against TWICE: runs that are given up as their worker deregisters,
  // though it runs on.
  it('workers that say goodbye and run on keep them too', () =>
    runFuzzAsync(goodbyePlan(7701, Math.ceil(RUNS / 3)))).timeout(600_000);
  // Guards against TWICE: runs that are given up as another writer says that
  // their worker has ended, or is elsewhere.
  it('words of other writers in the name of workers keep them too', () =>
    runFuzzAsync(wordsPlan(7801, Math.ceil(RUNS / 3)))).timeout(600_000);
});
