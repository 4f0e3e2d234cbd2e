import {expect} from 'chai';
import {testQueue} from '../../bundle/fixtures.js';
import {WorkflowDb} from '../db.js';
import {TestLog, testSpec, testStep, testTask} from '../fixtures.js';
import {plan} from './core.js';
import {inputOf} from './fixtures.js';

/** Wall time right after the ends that a `TestLog` records. */
const SOON = 2100;

/** Leaves no room for a second one on a worker. */
const BIG = {cpuMillis: 3000, memMb: 100, gpus: 0};

/** A workflow whose only task has failed once on the first of some workers. */
const failedLog = (
  maxAttempts: number,
  workers: readonly string[],
): TestLog => {
  const log = new TestLog({
    queues: [testQueue({maxAttempts, objectiveMs: 20_000})],
  });
  for (const [i, worker] of workers.entries())
    log.addWorker(worker, {rack: `rack-${i}`});
  log.submit('job', testSpec([testStep()]));
  log.start(workers[0]!, testTask('job', 0, 0));
  log.end(workers[0]!, testTask('job', 0, 0), 'failed');
  return log;
};

/** Lets a worker finish a run of another workflow, so that it is proven. */
const finishOn = (log: TestLog, worker: string): void => {
  const id = `done-on-${worker}`;
  log.submit(id, testSpec([testStep()]));
  log.start(worker, testTask(id, 0, 0));
  log.end(worker, testTask(id, 0, 0), 'done');
};

const startsAt = (log: TestLog, wall: number): string[] =>
  plan(inputOf(log, {mayAvoidFailed: true, wall})).starts.map(
    ({worker}) => worker,
  );

describe('workers for later attempts', () => {
  it('a later attempt does not return to the worker where the task failed', () => {
    expect(startsAt(failedLog(4, ['w1', 'w2']), SOON)).to.eql(['w2']);
  });
  it('the only worker is used again, so that the task does not wait forever', () => {
    expect(startsAt(failedLog(4, ['w1']), SOON)).to.eql(['w1']);
  });
  it('a proven worker is chosen before a tighter fit', () => {
    const log = failedLog(4, ['w1', 'w2', 'w3']);
    finishOn(log, 'w3');
    log.submit('fill', testSpec([testStep({taskCount: 2})]));
    log.start('w2', testTask('fill', 0, 0));
    log.start('w2', testTask('fill', 0, 1));
    expect(startsAt(log, SOON)).to.eql(['w3']);
  });
  it('the last attempt waits for a proven worker, but not for long', () => {
    const log = failedLog(2, ['w1', 'w2', 'w3']);
    finishOn(log, 'w3');
    const all = testStep({room: {cpuMillis: 4000, memMb: 100, gpus: 0}});
    log.submit('fill', testSpec([all]));
    log.start('w3', testTask('fill', 0, 0));
    expect(startsAt(log, SOON)).to.eql([]);
    const [wait] = plan(inputOf(log, {mayAvoidFailed: true, wall: SOON})).waits;
    expect(wait?.why).to.equal('attempt');
    expect(startsAt(log, SOON + 2000)).to.eql(['w2']);
  });
  it('a gang that has failed avoids the worker of the member that failed', () => {
    const log = new TestLog({queues: [testQueue({maxAttempts: 4})]});
    for (const worker of ['w1', 'w2', 'w3']) log.addWorker(worker);
    const gang = testStep({taskCount: 2, isGang: true});
    log.submit('job', testSpec([gang]));
    log.start('w1', testTask('job', 0, 0));
    log.start('w2', testTask('job', 0, 1));
    log.end('w1', testTask('job', 0, 0), 'failed');
    log.end('w2', testTask('job', 0, 1), 'broken');
    expect(startsAt(log, SOON)).to.not.include('w1');
    expect(startsAt(log, SOON)).to.have.length(2);
  });
  // Guards against a task that waits forever while most workers are free: the
  // runs of the only other worker may never end.
  it('a task returns to a worker where it failed if no other has room, but not soon', () => {
    const all = {room: {cpuMillis: 4000, memMb: 100, gpus: 0}};
    const lasting = testSpec([testStep({...all, isLongRunning: true})]);
    const occupied = (workers: readonly string[]) => {
      const log = failedLog(4, workers);
      for (const worker of workers.slice(1)) {
        log.submit(`on-${worker}`, lasting);
        log.start(worker, testTask(`on-${worker}`, 0, 0));
      }
      return log;
    };
    const log = occupied(['w1', 'w2']);
    expect(startsAt(log, SOON)).to.eql([]);
    expect(startsAt(log, 2000 + 2499)).to.eql([]);
    expect(startsAt(log, 2000 + 2500)).to.eql(['w1']);
    expect(startsAt(occupied(['w1', 'w2', 'w3']), 2000 + 2500)).to.eql([]);
  });
  // Guards against a gang that waits forever for workers that are proven by small
  // runs beside those that take their room.
  it('a gang waits for proven workers, but not for long', () => {
    const log = new TestLog({queues: [testQueue({maxAttempts: 4})]});
    for (let i = 1; i <= 5; i++) log.addWorker(`w${i}`);
    const gang = testStep({taskCount: 2, isGang: true, room: BIG});
    log.submit('job', testSpec([gang]));
    log.start('w1', testTask('job', 0, 0));
    log.start('w2', testTask('job', 0, 1));
    log.end('w1', testTask('job', 0, 0), 'failed');
    log.end('w2', testTask('job', 0, 1), 'broken');
    for (const worker of ['w2', 'w3']) {
      finishOn(log, worker);
      const id = `lasting-on-${worker}`;
      log.submit(id, testSpec([testStep({isLongRunning: true, room: BIG})]));
      log.start(worker, testTask(id, 0, 0));
    }
    expect(startsAt(log, SOON)).to.eql([]);
    expect(startsAt(log, 2000 + 2000)).to.have.members(['w4', 'w5']);
  });
  it('a restored state still knows where a task failed', () => {
    const log = failedLog(4, ['w1', 'w2']);
    const restored = new WorkflowDb();
    restored.restore(JSON.parse(JSON.stringify(log.db.toImage())));
    expect(restored.findTask(testTask('job', 0, 0))?.failedRuns).to.eql([
      {worker: 'w1', rack: 'rack-0', at: 2000},
    ]);
  });
});
