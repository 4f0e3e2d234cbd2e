import {expect} from 'chai';
import {isStalled} from './stall.js';

describe('stall', () => {
  it('a run without progress for longer than the minimum is stalled', () => {
    const run = {percent: 40, changedAt: 1000};
    expect(isStalled(run, 1000, 3000)).to.equal(false);
    expect(isStalled(run, 1000, 3600)).to.equal(true);
  });
  it('a run with a long estimate may pause for longer', () => {
    const run = {percent: 40, changedAt: 1000};
    expect(isStalled(run, 10_000, 5000)).to.equal(false);
    expect(isStalled(run, 10_000, 6100)).to.equal(true);
  });
  it('a run at 100 percent is never stalled', () => {
    expect(isStalled({percent: 100, changedAt: 0}, 1000, 99_000)).to.equal(
      false,
    );
  });
});
