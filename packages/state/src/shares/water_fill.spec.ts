import {expect} from 'chai';
import fc from 'fast-check';
import {waterFill} from './water_fill.js';

describe('water fill', () => {
  it('meets small demands in full and splits the rest evenly', () => {
    const given = waterFill(10, [
      {key: 'a', want: 9},
      {key: 'b', want: 2},
      {key: 'c', want: 9},
    ]);
    expect([...given]).to.have.deep.members([
      ['a', 4],
      ['b', 2],
      ['c', 4],
    ]);
  });
  it('allocates the smaller of total and demand, and no holder more than it wants', () => {
    const demands = fc.array(fc.nat(20), {minLength: 1, maxLength: 8});
    fc.assert(
      fc.property(fc.nat(60), demands, (total, wants) => {
        const given = waterFill(
          total,
          wants.map((want, key) => ({key, want})),
        );
        const sum = [...given.values()].reduce((a, b) => a + b, 0);
        expect(sum).to.equal(
          Math.min(
            total,
            wants.reduce((a, b) => a + b, 0),
          ),
        );
        for (const [key, units] of given)
          expect(units).to.be.at.most(wants[key]!);
      }),
      {seed: 4102, numRuns: 500},
    );
  });
});
