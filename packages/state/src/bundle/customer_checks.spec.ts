import {expect} from 'chai';
import {findBundleError} from './core.js';
import {testBundle, testKeyedCustomer} from './fixtures.js';
import type {Customer} from './types.js';

const errorOf = (...customers: Customer[]): string | undefined =>
  findBundleError(testBundle({customers}));
const keys = (count: number): string[] =>
  Array.from({length: count}, (_, i) => `key${i}`);

describe('checks of customers', () => {
  it('a bundle at the limits is valid, and one beyond them is not', () => {
    const many = (count: number): Customer[] =>
      Array.from({length: count}, (_, i) => testKeyedCustomer(`c${i}`, []));
    expect(errorOf(...many(1000))).to.equal(undefined);
    expect(errorOf(...many(1001))).to.contain('1000');
    expect(errorOf(testKeyedCustomer('a', keys(64)))).to.equal(undefined);
    expect(errorOf(testKeyedCustomer('a', keys(65)))).to.contain('customer a');
  });
  it('names and keys must be unique', () => {
    const twice = errorOf(
      testKeyedCustomer('a', []),
      testKeyedCustomer('a', []),
    );
    expect(twice).to.contain('name a');
    expect(errorOf(testKeyedCustomer('a', ['k', 'k']))).to.contain(
      'a key twice',
    );
    const shared = errorOf(
      testKeyedCustomer('a', ['k']),
      testKeyedCustomer('b', ['k']),
    );
    expect(shared).to.contain('customers a and b share a key');
  });
  it('a cap or weight must be a number from 0 to a maximum', () => {
    for (const value of [-1, 1e308, Number.NaN, Number.POSITIVE_INFINITY]) {
      const cap = {cpuMillis: 0, memMb: value, gpus: 0};
      expect(errorOf(testKeyedCustomer('a', [], {weight: value}))).to.contain(
        'a ',
      );
      expect(errorOf(testKeyedCustomer('a', [], {cap}))).to.contain('cap');
    }
  });
});
