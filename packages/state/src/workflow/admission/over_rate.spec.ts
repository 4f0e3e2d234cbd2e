import {expect} from 'chai';
import {testQueue} from '../../bundle/fixtures.js';
import {TestLog, testSpec, testStep, testTask} from '../fixtures.js';
import type {WorkflowSpec} from '../types.js';
import {decideAdmission} from './core.js';
import {DEFAULT_RATE_TERMS} from './customer_rate.js';
import {customerBundle, submitOf} from './fixtures.js';

const WALL = 2000;
const LIGHT = testSpec([testStep()]);
/** Work of ten seconds of the only worker. */
const HEAVY = testSpec([testStep({taskCount: 40})]);

const makeLog = (): TestLog => {
  const log = new TestLog(
    customerBundle({loud: 1, calm: 1, free: 0}, [
      testQueue({name: 'urgent', prefix: '/urgent/', priority: 0}),
      testQueue({name: 'patient', prefix: '/patient/', priority: 2}),
      testQueue({
        name: 'tight',
        prefix: '/tight/',
        stretch: 0,
        objectiveMs: 1200,
      }),
    ]),
  );
  log.addWorker('w1');
  return log;
};

const decide = (
  log: TestLog,
  customer: string,
  part: {
    readonly id?: string;
    readonly queue?: string;
    readonly spec?: WorkflowSpec;
    readonly wall?: number;
  } = {},
) => {
  const {id = 'new', queue = 'urgent', spec = LIGHT, wall = WALL} = part;
  const known = log.db.queues.get(queue as never)!;
  const terms = {id: id as never, customer: customer as never, wall};
  return decideAdmission(log.db, known, spec, terms);
};

/** Ended submissions of a customer, which count toward its rate only. */
const useUp = (log: TestLog, customer: string, count = 30): void => {
  for (let i = 0; i < count; i++) {
    const id = `${customer}${i}`;
    log.apply(submitOf(id, {customer, queue: 'urgent', at: WALL}));
    log.apply({kind: 'cancel', id: id as never, at: WALL});
  }
};

describe('admission by the rate of a customer', () => {
  it('while there is room, nobody is refused for a rate', () => {
    const log = makeLog();
    // 1 x 5 s x 1.1 + 20.
    useUp(log, 'loud', 24);
    expect(decide(log, 'loud')).to.not.have.property('isBeyondRate');
    useUp(log, 'loud', 25);
    expect(decide(log, 'loud')).to.include({kind: 'admit', isBeyondRate: true});
    expect(decide(log, 'calm')).to.eql({kind: 'admit', expectedMs: 1000});
  });
  it('work that runs is no backlog while the workers have free room', () => {
    const log = makeLog();
    useUp(log, 'loud');
    const spec = testSpec([testStep({taskCount: 3})]);
    log.apply(submitOf('busy', {spec, queue: 'tight', at: WALL}));
    for (const index of [0, 1, 2]) log.start('w1', testTask('busy', 0, index));
    // By its backlog alone, it would be done after 1.75 s instead of 1.2 s.
    const queue = 'tight';
    expect(decide(log, 'loud', {queue}).kind).to.equal('admit');
    const wide = testSpec([testStep({taskCount: 2})]);
    expect(decide(log, 'loud', {queue, spec: wide}).kind).to.equal('over_rate');
    expect(decide(log, 'calm', {queue, spec: wide}).kind).to.equal('admit');
  });
  it('without room, what is beyond the rate is refused first', () => {
    const log = makeLog();
    useUp(log, 'loud');
    useUp(log, 'free', 200);
    // Three seconds of backlog: past the objective of 2.5 s, not past 7.5 s.
    const spec = testSpec([testStep({taskCount: 12})]);
    log.apply(submitOf('full', {spec, queue: 'urgent', at: WALL}));
    expect(decide(log, 'loud').kind).to.equal('over_rate');
    for (const other of ['calm', 'free'])
      expect(decide(log, other)).to.eql({kind: 'admit', expectedMs: 4000});
  });
  it('work that is late in a less urgent queue leaves no room either', () => {
    const log = makeLog();
    useUp(log, 'loud');
    const spec = HEAVY;
    log.apply(submitOf('full', {spec, queue: 'patient', at: WALL}));
    expect(decide(log, 'loud').kind).to.equal('over_rate');
    expect(decide(log, 'calm').kind).to.equal('admit');
  });
  it('the retry time is that of room in the window, spread by id', () => {
    const log = makeLog();
    useUp(log, 'loud');
    log.apply(submitOf('full', {spec: HEAVY, queue: 'urgent', at: WALL}));
    const {windowMs} = DEFAULT_RATE_TERMS;
    const waits = Array.from({length: 200}, (_, i) => {
      const decision = decide(log, 'loud', {id: `r${i}`, wall: WALL + 1000});
      return decision.kind === 'over_rate' ? decision.retryAfterMs : 0;
    });
    const roomMs = windowMs - 1000;
    expect(Math.min(...waits)).to.be.within(roomMs, roomMs + 200);
    expect(Math.max(...waits)).to.be.within(
      roomMs + windowMs - 200,
      roomMs + windowMs,
    );
    const again = decide(log, 'loud', {id: 'r0', wall: WALL + 1000});
    expect(again).to.include({retryAfterMs: waits[0]});
  });
  it('work beyond the rate of others counts only once it has started', () => {
    const log = makeLog();
    const terms = {customer: 'loud', queue: 'urgent', isBeyondRate: true};
    for (const id of ['b0', 'b1'])
      log.apply(submitOf(id, {...terms, spec: HEAVY, at: WALL}));
    expect(decide(log, 'calm').kind).to.equal('admit');
    for (const id of ['b0', 'b1']) log.start('w1', testTask(id, 0, 0));
    expect(decide(log, 'calm').kind).to.equal('refuse');
  });
  it('work that can no longer be useful is no backlog', () => {
    const log = makeLog();
    for (const id of ['u0', 'u1', 'u2'])
      log.apply(submitOf(id, {spec: HEAVY, queue: 'urgent', at: WALL}));
    expect(decide(log, 'calm').kind).to.equal('refuse');
    // The objective is 2.5 s, so a second of work is useless from 6.5 s on.
    expect(decide(log, 'calm', {wall: WALL + 6600}).kind).to.equal('admit');
  });
  it('a submission without customer is admitted as in a bundle without any', () => {
    const log = makeLog();
    const plain = new TestLog({queues: [...log.db.queues.values()]});
    plain.addWorker('w1');
    for (const id of ['u0', 'u1', 'u2']) {
      const record = submitOf(id, {spec: HEAVY, queue: 'urgent', at: WALL});
      plain.apply(record);
      const queue = plain.db.queues.get('urgent' as never)!;
      const terms = {id: 'new' as never, wall: WALL + 6600};
      expect(decideAdmission(plain.db, queue, LIGHT, terms)).to.eql(
        decideAdmission(plain.db, queue, LIGHT),
      );
    }
  });
});
