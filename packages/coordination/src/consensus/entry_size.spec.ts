import {encode} from '@msgpack/msgpack';
import {expect} from 'chai';
import fc from 'fast-check';
import {estimateBytes} from './entry_size.js';

const SEED = 5501;
/** The longest header that an estimate may leave out, in bytes, for each value. */
const MAX_EXCESS = 5;

const countValues = (value: unknown): number =>
  typeof value !== 'object' || value === null || value instanceof Uint8Array
    ? 1
    : Object.values(value).reduce<number>(
        (sum, field) => sum + 1 + countValues(field),
        1,
      );

const plain = fc.letrec(tie => ({
  value: fc.oneof(
    {depthSize: 'small'},
    fc.string({unit: 'binary', maxLength: 300}),
    fc.uint8Array({maxLength: 300}),
    fc.integer(),
    fc.boolean(),
    fc.constant(null),
    fc.array(tie('value'), {maxLength: 4}),
    fc.dictionary(fc.string({maxLength: 8}), tie('value'), {maxKeys: 4}),
  ),
})).value;

describe('size of entries', () => {
  it('an estimate is at least the encoded size, and a header for each value more at most', () => {
    fc.assert(
      fc.property(plain, value => {
        const {length} = encode(value);
        const estimate = estimateBytes(value);
        expect(estimate).to.be.at.least(length);
        expect(estimate - length).to.be.at.most(
          MAX_EXCESS * countValues(value),
        );
      }),
      {seed: SEED, numRuns: 500},
    );
  });
});
