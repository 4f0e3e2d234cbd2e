import {expect} from 'chai';
import {decideAdmission} from '../admission/core.js';
import {TestLog, testSpec, testStep, testTask} from '../fixtures.js';
import type {Resources, StepSpec} from '../types.js';
import {plan} from './core.js';
import {EARLY, busyLog, inputOf} from './fixtures.js';

const NOTHING: Resources = {cpuMillis: 0, memMb: 0, gpus: 0};

/** Workers that start the only task of a step while w1, with two tasks, has `room`. */
const startedOn = (room: Resources, step: Partial<StepSpec>): string[] => {
  const log = busyLog(testStep({taskCount: 2}));
  log.addWorker('w1', {sequence: 2, room});
  log.submit('new', testSpec([testStep(step)]), 'small');
  return plan(inputOf(log, EARLY)).starts.map(({worker}) => worker);
};

describe('planning on a worker whose room has shrunk', () => {
  it('a worker with more than its room in one resource gets no start', () => {
    const rooms = [
      {cpuMillis: 1999, memMb: 4000, gpus: 0},
      {cpuMillis: 4000, memMb: 199, gpus: 0},
      NOTHING,
    ];
    const small = {room: {cpuMillis: 1, memMb: 1, gpus: 0}};
    for (const room of rooms) {
      expect(startedOn(room, small)).to.eql([]);
      expect(startedOn(room, {usesLeftover: true})).to.eql([]);
    }
  });
  it('a worker whose room has grown again gets starts', () => {
    const room = {cpuMillis: 3000, memMb: 4000, gpus: 0};
    expect(startedOn(room, {})).to.eql(['w1']);
  });
  it('a gang gets no room reserved on a worker that is too small by now', () => {
    const log = new TestLog();
    for (const worker of ['w1', 'w2']) log.addWorker(worker);
    const gang = testStep({
      taskCount: 2,
      isGang: true,
      room: {cpuMillis: 3000, memMb: 100, gpus: 0},
    });
    log.submit('busy', testSpec([testStep({room: gang.room})]));
    log.start('w1', testTask('busy', 0, 0));
    log.submit('gang', testSpec([gang]));
    expect(plan(inputOf(log, EARLY)).reserved.size).to.equal(1);
    log.addWorker('w2', {sequence: 2, room: NOTHING});
    const {reserved, starts} = plan(inputOf(log, EARLY));
    expect(reserved.size).to.equal(0);
    expect(starts).to.eql([]);
  });
  it('no run gives way where the freed room would not be enough', () => {
    const log = busyLog(testStep({taskCount: 2, isCheckpointable: true}));
    const room = {cpuMillis: 2000, memMb: 4000, gpus: 0};
    const wide = testStep({room: {...room, memMb: 100}});
    log.submit('wide', testSpec([wide]), 'wide');
    expect(plan(inputOf(log, EARLY)).stops).to.have.length(0);
    log.addWorker('w1', {sequence: 2, room});
    expect(plan(inputOf(log, EARLY)).stops).to.have.length(2);
    log.addWorker('w1', {
      sequence: 3,
      room: {...room, cpuMillis: 1999},
    });
    expect(plan(inputOf(log, EARLY)).stops).to.have.length(0);
  });
  it('a pool without any room admits work and plans without a failure', () => {
    const log = new TestLog();
    log.addWorker('w1', {room: NOTHING});
    log.submit('a', testSpec([testStep()]));
    const [queue] = log.db.bundle!.queues;
    const admission = decideAdmission(log.db, queue!, testSpec([testStep()]));
    expect(admission.kind).to.equal('admit');
    const {starts, waits} = plan(inputOf(log, EARLY));
    expect(starts).to.eql([]);
    expect(waits).to.have.length(1);
  });
});
