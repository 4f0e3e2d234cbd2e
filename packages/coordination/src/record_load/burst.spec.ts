import {expect} from 'chai';
import {LoadShedder} from '../load/core.js';
import {RecordLoad} from './core.js';
import {
  CAPACITY_PER_S,
  SimulatedLeader,
  isServed,
  type SimulatedAdmission,
} from './fixtures.js';

const BURST_FROM_MS = 5000;
const BURST_TO_MS = 20_000;
const END_MS = 40_000;
/** The load before and after the burst, and during it, as multiples of the capacity. */
const QUIET_FACTOR = 0.5;
const BURST_FACTOR = 3;

const byRecords = (): SimulatedAdmission => {
  const load = new RecordLoad(0);
  return {
    mayTake: (now, inFlight) =>
      load.decide({priority: 0, inFlight, now, spread: 0, deadline: Infinity})
        .kind === 'take',
    propose: startedAt => {
      const record = load.begin(startedAt);
      return now => load.end(record, now);
    },
    sample: () => undefined,
  };
};

const byLag = (): SimulatedAdmission => {
  const load = new LoadShedder(0);
  return {
    mayTake: () => load.decide().kind === 'take',
    propose: () => () => undefined,
    sample: now => load.recordSample(now),
  };
};

/** Plays a burst; returns the outcomes of the submissions of a span of time. */
const playBurst = (admission: SimulatedAdmission) => {
  const leader = new SimulatedLeader(admission);
  leader.submit(QUIET_FACTOR * CAPACITY_PER_S, 0, BURST_FROM_MS);
  leader.submit(BURST_FACTOR * CAPACITY_PER_S, BURST_FROM_MS, BURST_TO_MS);
  leader.submit(QUIET_FACTOR * CAPACITY_PER_S, BURST_TO_MS, END_MS);
  leader.run(END_MS + 10_000);
  return (fromMs: number, toMs: number) =>
    leader.outcomes.filter(({at}) => at >= fromMs && at < toMs);
};

/** Submissions of a burst that were served, as a fraction of the capacity. */
const goodputOf = (outcomesOf: ReturnType<typeof playBurst>): number => {
  const served = outcomesOf(BURST_FROM_MS, BURST_TO_MS).filter(isServed).length;
  const burstS = (BURST_TO_MS - BURST_FROM_MS) / 1000;
  return served / (burstS * CAPACITY_PER_S);
};

describe('a burst of submissions beyond the capacity of the leader', () => {
  it('goodput collapses where only turns of the event loop are measured', () => {
    expect(goodputOf(playBurst(byLag()))).to.be.below(0.3);
  });
  it('goodput stays near the capacity', () => {
    expect(goodputOf(playBurst(byRecords()))).to.be.at.least(0.7);
  });
  it('refusals are answered at once', () => {
    const refused = playBurst(byRecords())(0, END_MS).filter(
      ({isTaken}) => !isTaken,
    );
    const waits = refused.map(({answerMs}) => answerMs).sort((a, b) => a - b);
    expect(waits.length).to.be.above(0);
    expect(waits[Math.floor(waits.length * 0.9)]).to.be.below(1000);
  });
  it('nothing that was accepted is lost', () => {
    const taken = playBurst(byRecords())(0, END_MS).filter(
      ({isTaken}) => isTaken,
    );
    expect(taken.filter(({doneMs}) => doneMs === undefined)).to.eql([]);
  });
  it('all is served again 5 s after the burst', () => {
    const later = playBurst(byRecords())(BURST_TO_MS + 5000, END_MS);
    expect(later.length).to.be.above(0);
    expect(later.filter(outcome => !isServed(outcome))).to.eql([]);
  });
  it('nothing is refused before the burst', () => {
    const before = playBurst(byRecords())(0, BURST_FROM_MS);
    expect(before.filter(outcome => !isServed(outcome))).to.eql([]);
  });
});
