import {expect} from 'chai';
import {testQueue} from '../../bundle/fixtures.js';
import {customerBundle, submitOf} from '../admission/fixtures.js';
import {TestLog, testSpec, testStep, testTask} from '../fixtures.js';
import {plan} from './core.js';
import {busyLog, inputOf} from './fixtures.js';
import {isUseless} from './useless_work.js';

/** A task of one second, for which 2.5 s are allowed, accepted at 1,000 ms. */
const ONE = testSpec([testStep({room: {cpuMillis: 4000, memMb: 1, gpus: 0}})]);
const QUEUE = testQueue({});

const makeLog = (part = customerBundle({acme: 1}, [QUEUE])): TestLog => {
  const log = new TestLog(part);
  log.addWorker('w1');
  return log;
};

/** Ids of the workflows that a pass starts. */
const startsAt = (log: TestLog, wall: number, mayDeferUseless = false) =>
  plan(inputOf(log, {wall, mayDeferUseless})).starts.map(
    ({task}) => task.workflow as string,
  );

describe('useless work', () => {
  it('is what would end past three times its objective, until eight times', () => {
    const log = makeLog();
    log.apply(submitOf('a', {spec: ONE}));
    const workflow = log.db.open.get('a' as never)!;
    const at = (wall: number) => isUseless(log.db, workflow, QUEUE, wall);
    expect(at(1000 + 7500 - 1000)).to.equal(false);
    expect(at(1000 + 7500 - 999)).to.equal(true);
    expect(at(1000 + 8 * 2500 - 1)).to.equal(true);
    expect(at(1000 + 8 * 2500)).to.equal(false);
  });
  // Guards against work that admission takes by its learned time, and that then
  // gives way as its client declared less.
  it('is judged by learned run times', () => {
    const log = makeLog();
    log.apply(submitOf('a', {spec: ONE}));
    const [mean, bias] = [Math.log(4000), Math.log(4)];
    log.db.estimates.durations.restore([
      [
        'queue\n#0',
        [48, mean, 0.01, 48, bias, 0.01, 4000, 1000, mean, 0.01, bias, 0.01],
      ],
    ]);
    const workflow = log.db.open.get('a' as never)!;
    const at = (wall: number) => isUseless(log.db, workflow, QUEUE, wall);
    // Of three times 8.5 s, four seconds are needed.
    expect(at(1000 + 25_500 - 4000)).to.equal(false);
    expect(at(1000 + 25_500 - 3999)).to.equal(true);
  });
  it('does not contain what runs, is timed, or never ends', () => {
    const log = makeLog();
    const timed = {...ONE, firstDueAt: 1000};
    const lasting = testSpec([testStep({isLongRunning: true})]);
    for (const [id, spec] of Object.entries({runs: ONE, timed, lasting}))
      log.apply(submitOf(id, {spec}));
    log.start('w1', testTask('runs', 0, 0));
    for (const workflow of log.db.open.values())
      expect(isUseless(log.db, workflow, QUEUE, 10_000)).to.equal(false);
  });
  it('gives way to work that can be in time, and is done when there is room', () => {
    const log = makeLog();
    log.apply(submitOf('old', {spec: ONE}));
    expect(startsAt(log, 9000)).to.eql(['old']);
    log.apply(submitOf('new', {spec: ONE, at: 9000}));
    expect(startsAt(log, 9000)).to.eql(['new']);
    log.addWorker('w2');
    expect(startsAt(log, 9000)).to.eql(['new', 'old']);
  });
  it('gives way to less urgent work, and to what is beyond its share', () => {
    const urgent = testQueue({name: 'urgent', prefix: '/u/', priority: 0});
    const log = makeLog(customerBundle({acme: 1}, [QUEUE, urgent]));
    log.apply(submitOf('old', {spec: ONE, queue: 'urgent'}));
    log.apply(submitOf('new', {spec: ONE, at: 9000}));
    expect(startsAt(log, 9000)).to.eql(['new']);
  });
  it('does not starve: it is overdue after eight times its objective', () => {
    const log = makeLog();
    log.apply(submitOf('old', {spec: ONE}));
    log.apply(submitOf('new', {spec: ONE, at: 21_000}));
    expect(startsAt(log, 20_900)).to.eql(['new']);
    expect(startsAt(log, 21_000)).to.eql(['old']);
  });
  it('is deferred without customers only by the setting', () => {
    const log = makeLog({queues: [QUEUE]});
    log.apply(submitOf('old', {spec: ONE}));
    log.apply(submitOf('new', {spec: ONE, at: 9000}));
    expect(startsAt(log, 9000)).to.eql(['old']);
    expect(startsAt(log, 9000, true)).to.eql(['new']);
  });
  it('neither preempts nor reserves', () => {
    const gang = testStep({taskCount: 4, isGang: true});
    const small = testStep({taskCount: 4, isCheckpointable: true});
    const decide = (mayDeferUseless: boolean) => {
      const log = busyLog(small);
      const wall = 1000 + 3 * 2500;
      log.apply(submitOf('gang', {spec: testSpec([gang]), queue: 'wide'}));
      const tooLarge = testStep({room: {cpuMillis: 9000, memMb: 1, gpus: 0}});
      const useful = {spec: testSpec([tooLarge]), queue: 'wide', at: wall};
      log.apply(submitOf('useful', useful));
      return plan(inputOf(log, {wall, mayDeferUseless}));
    };
    expect(decide(false).stops).to.have.length(4);
    const {stops, reserved, waits} = decide(true);
    expect({stops, reserved: reserved.size}).to.eql({stops: [], reserved: 0});
    const wait = waits.find(({step}) => step.workflow === ('gang' as never));
    expect(wait).to.include({why: 'room', taskCount: 4});
  });
  // Guards against gangs that never gather resources in a pool with room to spare.
  it('is served like other work where nothing else waits', () => {
    const gang = testStep({taskCount: 4, isGang: true});
    const log = busyLog(testStep({taskCount: 4, isCheckpointable: true}));
    log.apply(submitOf('gang', {spec: testSpec([gang]), queue: 'wide'}));
    const wall = 1000 + 3 * 2500;
    const {stops} = plan(inputOf(log, {wall, mayDeferUseless: true}));
    expect(stops).to.have.length(4);
  });
});
