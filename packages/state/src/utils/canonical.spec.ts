import {expect} from 'chai';
import {canonicalJson} from './canonical.js';

describe('canonicalJson', () => {
  it('sorts keys at every depth', () => {
    expect(canonicalJson({b: {d: 1, c: 2}, a: [3, {f: 4, e: 5}]})).to.equal(
      '{"a":[3,{"e":5,"f":4}],"b":{"c":2,"d":1}}',
    );
  });
});
