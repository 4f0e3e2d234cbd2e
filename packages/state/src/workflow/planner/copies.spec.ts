import {expect} from 'chai';
import {TestLog, testSpec, testStep, testTask} from '../fixtures.js';
import {taskKey} from '../refs.js';
import type {StepSpec, TaskKey} from '../types.js';
import {plan} from './core.js';
import {inputOf} from './fixtures.js';
import type {PlanInput} from './types.js';

const ROOM = {cpuMillis: 1000, memMb: 100, gpus: 0};

/** Four runs of a step on one worker beside an empty one; the first is slow. */
const runningLog = (part: Partial<StepSpec> = {}): TestLog => {
  const log = new TestLog();
  log.addWorker('slow');
  log.submit(
    'a',
    testSpec([
      testStep({
        taskCount: 4,
        estimateMs: 500,
        room: ROOM,
        isSpeculative: true,
        ...part,
      }),
    ]),
  );
  for (let i = 0; i < 4; i++) log.start('slow', testTask('a', 0, i));
  log.addWorker('free');
  return log;
};

const remaining =
  (ms: readonly number[]): PlanInput['remainingMs'] =>
  (_worker, key: TaskKey) =>
    ms[[0, 1, 2, 3].findIndex(i => taskKey(testTask('a', 0, i)) === key)];

const copiesOf = (log: TestLog, ms: readonly number[]): number[] =>
  plan(inputOf(log, {remainingMs: remaining(ms)})).starts.map(
    ({task}) => task.index,
  );

describe('copies', () => {
  it('a run that needs far longer than a new one is copied to another worker', () => {
    const log = runningLog();
    const {starts} = plan(
      inputOf(log, {remainingMs: remaining([8000, 300, 300, 300])}),
    );
    expect(starts.map(({task, run, worker}) => [task.index, run, worker]))
      .to //
      .eql([[0, 2, 'free']]);
  });
  it('no run is copied while all runs need equally long', () => {
    expect(copiesOf(runningLog(), [8000, 8000, 8000, 8000])).to.eql([]);
  });
  it('no run is copied if its step is not speculative, is a gang or is long-running', () => {
    const slow = [8000, 300, 300, 300];
    expect(copiesOf(runningLog({isSpeculative: false}), slow)).to.eql([]);
    expect(copiesOf(runningLog({isGang: true}), slow)).to.eql([]);
    expect(copiesOf(runningLog({isLongRunning: true}), slow)).to.eql([]);
  });
  it('a run that has a copy is not copied again', () => {
    const log = runningLog();
    log.start('free', testTask('a', 0, 0), 2);
    expect(copiesOf(log, [8000, 300, 300, 300])).to.eql([]);
  });
  it('no copy starts while a step waits for resources', () => {
    const log = runningLog();
    log.submit('wide', testSpec([testStep({taskCount: 99, room: ROOM})]));
    const starts = plan(
      inputOf(log, {remainingMs: remaining([8000, 300, 300, 300])}),
    ).starts.filter(({task}) => task.workflow === testTask('a', 0, 0).workflow);
    expect(starts).to.eql([]);
  });
  it('a run is stopped when its copy is done', () => {
    const log = runningLog();
    log.start('free', testTask('a', 0, 0), 2);
    log.end('free', testTask('a', 0, 0), 'done', {run: 2});
    const {stops} = plan(inputOf(log));
    expect(stops.map(({worker, run, why}) => [worker, run, why]))
      .to //
      .eql([['slow', 1, 'task_done']]);
  });
  it('a limit per worker also holds for copies in a pass that starts tasks', () => {
    const log = new TestLog();
    log.addWorker('slow');
    const step = testStep({
      taskCount: 2,
      estimateMs: 500,
      room: ROOM,
      isSpeculative: true,
      maxPerWorker: 1,
    });
    log.submit('a', testSpec([step]));
    log.start('slow', testTask('a', 0, 0));
    log.addWorker('free');
    expect(copiesOf(log, [8000])).to.eql([1]);
  });
  it('no copy starts on the worker of the slow run', () => {
    const log = runningLog();
    log.apply({
      kind: 'remove_worker',
      life: {worker: 'free' as never, bornAt: 1},
      runs: [],
    });
    log.addWorker('slow', {room: {cpuMillis: 9000, memMb: 9000, gpus: 0}});
    expect(copiesOf(log, [8000, 300, 300, 300])).to.eql([]);
  });
});
