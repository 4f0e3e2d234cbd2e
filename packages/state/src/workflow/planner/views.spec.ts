import {expect} from 'chai';
import type {WorkerId} from '../../ids/types.js';
import {TestLog, testSpec, testStep, testTask} from '../fixtures.js';
import {taskKey} from '../refs.js';
import {viewWorkers, type PendingStart} from './views.js';

const WORKER = 'w1' as WorkerId;
const TASK = testTask('a.b', 0, 0);

const makeLog = (): TestLog => {
  const log = new TestLog();
  log.addWorker(WORKER);
  log.submit('a.b', testSpec([testStep({taskCount: 2})]));
  return log;
};

const freeCpu = ({db}: TestLog, expected: readonly PendingStart[]) =>
  viewWorkers(db, expected, () => true).get(WORKER)?.free.cpuMillis;

describe('worker views', () => {
  it('a pending start that is not recorded holds resources', () => {
    expect(freeCpu(makeLog(), [])).to.equal(4000);
    const expected = [[WORKER, taskKey(TASK), 1]] as const;
    expect(freeCpu(makeLog(), expected)).to.equal(3000);
  });
  it('a pending start that is recorded holds its resources once', () => {
    const log = makeLog();
    log.start(WORKER, TASK);
    expect(freeCpu(log, [[WORKER, taskKey(TASK), 1]])).to.equal(3000);
  });
  it('a pending start on an unknown worker holds no resources', () => {
    const gone = 'w2' as WorkerId;
    expect(freeCpu(makeLog(), [[gone, taskKey(TASK), 1]])).to.equal(4000);
  });
});
