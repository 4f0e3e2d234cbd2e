import {expect} from 'chai';
import {testQueue} from '../../bundle/fixtures.js';
import {TestLog, testSpec, testStep, testTask} from '../fixtures.js';
import {taskKey} from '../refs.js';
import type {TaskKey} from '../types.js';
import {plan} from './core.js';
import {EARLY, inputOf, busyLog} from './fixtures.js';

describe('planner without free resources', () => {
  it('a gang preempts small tasks that save checkpoints', () => {
    const log = busyLog(testStep({taskCount: 4, isCheckpointable: true}));
    log.submit(
      'gang',
      testSpec([testStep({taskCount: 3, isGang: true})]),
      'wide',
    );
    const {starts, stops, reserved} = plan(inputOf(log, EARLY));
    expect(starts).to.have.length(0);
    expect(stops.map(({why}) => why)).to.eql(Array(3).fill('preempted'));
    expect([...reserved.values()].map(set => [...set])).to.eql([['w1']]);
  });
  it('no further runs are preempted while enough are stopping', () => {
    const log = busyLog(testStep({taskCount: 4, isCheckpointable: true}));
    log.submit(
      'gang',
      testSpec([testStep({taskCount: 3, isGang: true})]),
      'wide',
    );
    const stopping = new Set(
      plan(inputOf(log, EARLY)).stops.map(({task}) => taskKey(task)),
    );
    expect(plan(inputOf(log, {...EARLY, stopping})).stops).to.have.length(0);
    log.end('w1', testTask('small', 0, 0), 'stopped', {checkpoint: 'c'});
    // Resources that are free already are reserved as well.
    expect(plan(inputOf(log, {...EARLY, stopping})).starts).to.have.length(0);
  });
  it('tasks that cannot save their progress are not preempted', () => {
    const log = busyLog(testStep({taskCount: 4}));
    log.submit(
      'gang',
      testSpec([testStep({taskCount: 3, isGang: true})]),
      'wide',
    );
    expect(plan(inputOf(log, EARLY)).stops).to.have.length(0);
  });
  it('no run is preempted for a gang that would not fit even then', () => {
    const log = busyLog(testStep({taskCount: 4, isCheckpointable: true}));
    log.submit(
      'gang',
      testSpec([testStep({taskCount: 5, isGang: true})]),
      'wide',
    );
    expect(plan(inputOf(log, EARLY)).stops).to.have.length(0);
  });
  it('a workflow that is late anyway preempts only delay-tolerant runs', () => {
    const log = busyLog(testStep({taskCount: 4, isCheckpointable: true}));
    const gang = testStep({taskCount: 3, isGang: true, estimateMs: 0});
    log.submit('gang', testSpec([gang]), 'wide');
    // The small tasks would be late if they were stopped now.
    expect(plan(inputOf(log, {wall: 1900})).stops).to.have.length(0);
    // Now they are late themselves.
    expect(plan(inputOf(log, {wall: 5000})).stops).to.have.length(3);
  });
  it('a run that is about to end is not preempted', () => {
    const log = busyLog(testStep({taskCount: 4, isCheckpointable: true}));
    log.submit(
      'gang',
      testSpec([testStep({taskCount: 3, isGang: true})]),
      'wide',
    );
    const ending = taskKey(testTask('small', 0, 1));
    const endsSoon = () => new Set<TaskKey>([ending]);
    const {stops} = plan(inputOf(log, {...EARLY, endsSoon}));
    expect(stops).to.have.length(2);
    expect(stops.map(({task}) => task.index)).not.to.include(1);
  });
  it('preemptible tasks use resources reserved for a gang until it can start', () => {
    const log = busyLog(testStep({taskCount: 2}));
    log.submit(
      'gang',
      testSpec([testStep({taskCount: 4, isGang: true})]),
      'wide',
    );
    const saving = testStep({taskCount: 2, isCheckpointable: true});
    log.submit('saving', testSpec([saving]), 'small');
    log.submit('other', testSpec([testStep({taskCount: 2})]), 'small');
    const {starts, stops} = plan(inputOf(log, EARLY));
    expect(starts.map(({task}) => task.workflow)).to.eql(['saving', 'saving']);
    expect(stops).to.have.length(0);
    for (let i = 0; i < 2; i++) {
      log.start('w1', testTask('saving', 0, i));
      log.end('w1', testTask('small', 0, i), 'done');
    }
    expect(plan(inputOf(log, EARLY)).stops.map(({why}) => why)).to.eql([
      'preempted',
      'preempted',
    ]);
  });
  it('a single task of higher priority preempts one run', () => {
    const log = busyLog(testStep({taskCount: 4, isCheckpointable: true}));
    log.submit('one', testSpec([testStep()]), 'wide');
    expect(plan(inputOf(log, EARLY)).stops).to.have.length(1);
  });
  it('no run is preempted before all tickets of a gang are valid', () => {
    const log = busyLog(testStep({taskCount: 4, isCheckpointable: true}), {
      baseMs: 1,
      perWorkerMs: 1,
      validMs: 1000,
    });
    log.submit(
      'gang',
      testSpec([testStep({taskCount: 3, isGang: true})]),
      'wide',
    );
    const all = new Set(['w1'] as never[]);
    const adviceOf = (validUntil: number) => () => ({
      asked: all,
      allowed: all,
      tickets: new Map([['w1' as never, {bornAt: 1, text: 't', validUntil}]]),
      isAsking: false,
    });
    const before = plan(inputOf(log, {...EARLY, adviceOf: adviceOf(0)}));
    expect(before.stops).to.have.length(0);
    expect(before.advice.map(({workers}) => workers)).to.eql([['w1']]);
    const after = plan(inputOf(log, {...EARLY, adviceOf: adviceOf(9000)}));
    expect(after.stops).to.have.length(3);
  });
  it('a workflow that is long overdue is not deferred further', () => {
    const log = new TestLog();
    log.addWorker('w1');
    const wide = testStep({taskCount: 4});
    log.submit('overdue', testSpec([wide]));
    log.submit('long', testSpec([{...wide, estimateMs: 60_000}]));
    const {starts} = plan(inputOf(log, {wall: 9000}));
    expect(starts.map(({task}) => task.workflow)).to.eql(
      Array(4).fill('overdue'),
    );
  });
  it('the first steps in order get the call slots of the adviser', () => {
    const advice = {baseMs: 600, perWorkerMs: 5, validMs: 2500};
    const log = new TestLog({queues: [testQueue({advice})]});
    log.addWorker('w1');
    for (let i = 0; i < 20; i++) log.submit(`a${i}`, testSpec([testStep()]));
    const {advice: requests, waits} = plan(inputOf(log));
    expect(requests.length).to.be.within(3, 12);
    expect(requests[0]?.step.workflow).to.equal('a0');
    expect(waits.at(-1)?.why).to.equal('advice_turn');
  });
  it('tickets of a waiting step are renewed before they expire', () => {
    const log = busyLog(testStep({taskCount: 4}), {
      baseMs: 100,
      perWorkerMs: 1,
      validMs: 2500,
    });
    log.submit(
      'gang',
      testSpec([testStep({taskCount: 3, isGang: true})]),
      'wide',
    );
    const all = new Set(['w1'] as never[]);
    const adviceOf = (validUntil: number) => () => ({
      asked: all,
      allowed: all,
      tickets: new Map([['w1' as never, {bornAt: 1, text: 't', validUntil}]]),
      isAsking: false,
    });
    const requestsAt = (validUntil: number) =>
      plan(inputOf(log, {...EARLY, adviceOf: adviceOf(validUntil)})).advice;
    expect(requestsAt(2000)).to.have.length(0);
    expect(requestsAt(500)).to.have.length(1);
  });
  it('within a priority, a workflow that would be late goes last', () => {
    const log = new TestLog();
    log.addWorker('w1');
    const wide = testStep({taskCount: 4});
    log.submit('late', testSpec([wide]));
    log.submit('long', testSpec([{...wide, estimateMs: 60_000}]));
    const {starts} = plan(inputOf(log, {wall: 4000}));
    expect(starts.map(({task}) => task.workflow)).to.eql(Array(4).fill('long'));
  });
  it('what was freed for a gang is not taken by others before it can start', () => {
    const log = busyLog(testStep({taskCount: 4, isCheckpointable: true}));
    log.addWorker('w2', {room: {cpuMillis: 1000, memMb: 1000, gpus: 0}});
    const gang = testStep({taskCount: 5, isGang: true});
    log.submit('gang', testSpec([gang]), 'wide');
    const first = plan(inputOf(log, EARLY));
    const {preemptedAt} = first;
    expect(first.stops).to.have.length(4);
    expect([...preemptedAt]).to.eql([['gang.0.0', 0]]);
    for (let index = 0; index < 4; index++)
      log.end('w1', testTask('small', 0, index), 'stopped', {checkpoint: 'c'});
    // The place of one member is gone meanwhile.
    log.submit('other', testSpec([testStep()]));
    log.start('w2', testTask('other', 0, 0));
    const startsAt = (now: number) =>
      plan(inputOf(log, {...EARLY, now, preemptedAt})).starts.length;
    expect([200, 1400, 1600].map(startsAt)).to.eql([0, 0, 4]);
  });
  it('a gang that has preempted waits for its victims before it preempts others', () => {
    const log = busyLog(testStep({taskCount: 4, isCheckpointable: true}));
    const gang = testStep({taskCount: 3, isGang: true});
    log.submit('gang', testSpec([gang]), 'wide');
    const {preemptedAt} = plan(inputOf(log, EARLY));
    const stopsAt = (now: number) =>
      plan(inputOf(log, {...EARLY, now, preemptedAt})).stops.length;
    expect([200, 1400, 1600].map(stopsAt)).to.eql([0, 0, 3]);
  });
});
