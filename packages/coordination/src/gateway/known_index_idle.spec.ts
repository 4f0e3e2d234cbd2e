import {expect} from 'chai';
import {KnownIndex} from './known_index.js';

describe('known index of a quiet entry', () => {
  it('an index settles after 600 ms though nobody asked meanwhile', () => {
    const index = new KnownIndex();
    index.observe(5, 0);
    expect(index.settledAt(60_000)).to.equal(5);
  });
  it('an index settles after 600 ms though it was told just after another', () => {
    const index = new KnownIndex();
    index.observe(5, 0);
    index.observe(6, 10);
    expect(index.settledAt(700)).to.equal(6);
  });
});
