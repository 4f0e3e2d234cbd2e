import {expect} from 'chai';
import {MEASURE_INTERVAL_MS, RecordLoad} from './core.js';

/** Records of the given times in ms, ten in each interval, one after the other. */
const after = (...timesMs: readonly number[]) => {
  const load = new RecordLoad(0);
  let now = 0;
  for (const takenMs of timesMs) {
    load.decide({
      priority: 0,
      inFlight: 40,
      now,
      spread: 0,
      deadline: Infinity,
    });
    for (let i = 0; i < 10; i++) {
      now += MEASURE_INTERVAL_MS / 10;
      load.end(load.begin(now - takenMs), now);
    }
  }
  const ask = (inFlight: number, priority = 0, spread = 0) =>
    load.decide({priority, inFlight, now, spread, deadline: Infinity});
  const state = () => load.stateAt(now);
  return {load, ask, state};
};

const QUICK_MS = 40;
const SLOW_MS = 800;

/** The given number of intervals with records of a time in ms. */
const times = (count: number, takenMs: number): number[] =>
  Array.from({length: count}, () => takenMs);

describe('admission by the time of records', () => {
  it('a leader with quick records takes all', () => {
    const {ask} = after(...times(10, QUICK_MS));
    expect(ask(1000)).to.eql({kind: 'take'});
  });
  it('one slow record among quick ones refuses nothing', () => {
    const {load, ask} = after(...times(10, QUICK_MS));
    load.end(load.begin(3000), 5000);
    expect(ask(1000)).to.eql({kind: 'take'});
  });
  it('a standing queue of records limits the submissions in flight', () => {
    const {ask} = after(...times(6, SLOW_MS));
    expect(ask(0).kind).to.equal('take');
    expect(ask(100).kind).to.equal('refuse');
  });
  it('a record that does not end counts by its age', () => {
    const {load, ask} = after(...times(4, QUICK_MS));
    load.begin(2000);
    load.stateAt(2000 + MEASURE_INTERVAL_MS);
    load.stateAt(2000 + 2 * MEASURE_INTERVAL_MS);
    expect(ask(1000).kind).to.equal('refuse');
  });
  it('a record that came to nothing is not waited for', () => {
    const {load, ask} = after(...times(4, QUICK_MS));
    load.abandon(load.begin(2000));
    load.stateAt(2000 + 4 * MEASURE_INTERVAL_MS);
    expect(ask(1000)).to.eql({kind: 'take'});
  });
  it('the least urgent queue is refused first', () => {
    const {ask} = after(...times(6, SLOW_MS));
    expect(ask(0, 2).kind).to.equal('take');
    expect(ask(0, 1).kind).to.equal('take');
    expect(ask(3, 2).kind).to.equal('refuse');
    expect(ask(3, 0).kind).to.equal('take');
  });
  it('a less urgent queue has the whole limit without others in demand', () => {
    const load = new RecordLoad(0);
    for (let now = 0; now < 3000; now += MEASURE_INTERVAL_MS) {
      load.decide({
        priority: 2,
        inFlight: 40,
        now,
        spread: 0,
        deadline: Infinity,
      });
      load.end(load.begin(now - SLOW_MS), now);
    }
    const ask = {
      priority: 2,
      inFlight: 3,
      now: 3000,
      spread: 0,
      deadline: Infinity,
    };
    expect(load.decide(ask).kind).to.equal('take');
  });
  it('between the two bounds the last decision stays in force', () => {
    const quick = times(6, QUICK_MS);
    const slowed = after(...quick, ...times(6, SLOW_MS), 150);
    expect(slowed.state().isOverloaded).to.equal(true);
    expect(after(...quick, 150).state().isOverloaded).to.equal(false);
  });
  it('a limit that is no longer needed is gone 10 s later', () => {
    const {state} = after(...times(6, SLOW_MS), ...times(20, QUICK_MS));
    expect(state().limit).to.equal(null);
  });
  it('a leader whose records are quick again refuses nothing 3 s later', () => {
    const {ask} = after(...times(12, SLOW_MS), ...times(6, QUICK_MS));
    expect(ask(1000)).to.eql({kind: 'take'});
  });
  it('a leader whose records are just below the bound is given more with care', () => {
    const {state} = after(...times(12, SLOW_MS), ...times(6, 110));
    expect(state().limit).to.be.within(5, 20);
  });
  it('slow links alone refuse nothing', () => {
    const {ask} = after(...times(20, 190), ...times(20, 250));
    expect(ask(1000)).to.eql({kind: 'take'});
  });
  it('refused clients return at different times, later than a record takes', () => {
    const {ask} = after(...times(6, 1500));
    const retryOf = (spread: number): number => {
      const decision = ask(1000, 0, spread);
      return decision.kind === 'refuse' ? decision.retryAfterMs : 0;
    };
    expect(retryOf(0)).to.be.at.least(1500);
    expect(retryOf(0.5)).to.be.above(retryOf(0));
  });
  it('a submission whose caller waits for less than a record takes is refused', () => {
    const load = new RecordLoad(0);
    load.end(load.begin(0), 300);
    const ask = {priority: 0, inFlight: 0, now: 600, spread: 0};
    expect(load.decide({...ask, deadline: 800}).kind).to.equal('refuse');
    expect(load.decide({...ask, deadline: 1000}).kind).to.equal('take');
  });
});
