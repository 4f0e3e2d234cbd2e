import {expect} from 'chai';
import {KnownIndex} from './known_index.js';

describe('known index of an idle entry node', () => {
  it('an index settles after 600 ms without any call in between', () => {
    const index = new KnownIndex();
    index.observe(5, 0);
    expect(index.settledAt(60_000)).to.equal(5);
  });
  it('an index settles after 600 ms if it was reported 10 ms after another', () => {
    const index = new KnownIndex();
    index.observe(5, 0);
    index.observe(6, 10);
    expect(index.settledAt(700)).to.equal(6);
  });
});
