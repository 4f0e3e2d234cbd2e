import {expect} from 'chai';
import {KnownIndex} from './known_index.js';

describe('known index', () => {
  it('the highest never goes back', () => {
    const index = new KnownIndex();
    index.observe(5, 0);
    index.observe(3, 1);
    expect(index.highest).to.equal(5);
  });
  it('an index settles no sooner than 300 ms and no later than 600 ms after', () => {
    const index = new KnownIndex();
    index.observe(5, 0);
    for (let now = 0; now < 300; now += 50)
      expect(index.settledAt(now)).to.equal(0);
    for (let now = 300; now < 600; now += 50) index.settledAt(now);
    expect(index.settledAt(600)).to.equal(5);
  });
  it('what was told since is not settled, however long nobody asked', () => {
    const index = new KnownIndex();
    index.observe(5, 0);
    index.observe(9, 60_000);
    expect(index.settledAt(60_001)).to.be.lessThan(9);
  });
});
