import {expect} from 'chai';
import {LoadShedder} from './core.js';

/** Decision after turns of the given lengths in ms, with one sample each. */
const after = (
  ...turns: ReadonlyArray<readonly [count: number, ms: number]>
) => {
  const load = new LoadShedder(0);
  let now = 0;
  for (const [count, ms] of turns)
    for (let i = 0; i < count; i++) load.recordSample((now += ms));
  return load.decide();
};

describe('load shedding of a leader', () => {
  it('a leader without lag accepts new work', () => {
    expect(after([100, 100])).to.eql({kind: 'take'});
  });
  it('a busy leader with short turns accepts new work', () => {
    expect(after([100, 200])).to.eql({kind: 'take'});
  });
  it('one long turn alone refuses nothing', () => {
    expect(after([50, 100], [1, 1300])).to.eql({kind: 'take'});
  });
  it('a leader with lasting lag rejects new work with a retry time', () => {
    const decision = after([50, 100], [10, 500]);
    expect(decision.kind).to.equal('refuse');
    if (decision.kind !== 'refuse') return;
    expect(decision.lateMs).to.be.within(350, 400);
    expect(decision.retryAfterMs).to.equal(1000);
  });
  it('a leader that has caught up accepts new work within a second', () => {
    expect(after([10, 500], [3, 100]).kind).to.equal('refuse');
    expect(after([10, 500], [10, 100])).to.eql({kind: 'take'});
  });
  it('at a lag between the two limits the last decision stays in force', () => {
    expect(after([10, 500], [30, 300]).kind).to.equal('refuse');
    expect(after([50, 100], [30, 300])).to.eql({kind: 'take'});
  });
});
