import {expect} from 'chai';
import {KnownIndex} from './known_index.js';

describe('known index', () => {
  it('the highest index does not decrease when a lower one is reported', () => {
    const index = new KnownIndex();
    index.observe(5, 0);
    index.observe(3, 1);
    expect(index.highest).to.equal(5);
  });
  it('an index settles between 300 ms and 600 ms after it was reported', () => {
    const index = new KnownIndex();
    index.observe(5, 0);
    for (let now = 0; now < 300; now += 50)
      expect(index.settledAt(now)).to.equal(0);
    for (let now = 300; now < 600; now += 50) index.settledAt(now);
    expect(index.settledAt(600)).to.equal(5);
  });
  it('an index reported just now is not settled after a long idle time', () => {
    const index = new KnownIndex();
    index.observe(5, 0);
    index.observe(9, 60_000);
    expect(index.settledAt(60_001)).to.be.lessThan(9);
  });
});
