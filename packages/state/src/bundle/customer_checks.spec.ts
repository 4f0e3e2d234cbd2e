import {expect} from 'chai';
import {findBundleError} from './core.js';
import {testBundle, testCustomer} from './fixtures.js';
import type {Customer} from './types.js';

const errorOf = (...customers: Customer[]): string | undefined =>
  findBundleError(testBundle({customers}));
const keys = (count: number): string[] =>
  Array.from({length: count}, (_, i) => `key${i}`);

describe('checks of customers', () => {
  it('a bundle at the limits is valid, and one beyond them is not', () => {
    const many = (count: number): Customer[] =>
      Array.from({length: count}, (_, i) => testCustomer(`c${i}`, []));
    expect(errorOf(...many(1000))).to.equal(undefined);
    expect(errorOf(...many(1001))).to.contain('1000');
    expect(errorOf(testCustomer('a', keys(64)))).to.equal(undefined);
    expect(errorOf(testCustomer('a', keys(65)))).to.contain('customer a');
  });
  it('names and keys must be unique', () => {
    const twice = errorOf(testCustomer('a', []), testCustomer('a', []));
    expect(twice).to.contain('name a');
    expect(errorOf(testCustomer('a', ['k', 'k']))).to.contain('a key twice');
    const shared = errorOf(testCustomer('a', ['k']), testCustomer('b', ['k']));
    expect(shared).to.contain('customers a and b share a key');
  });
  it('a cap or weight must be a number from 0 to a maximum', () => {
    for (const value of [-1, 1e308, Number.NaN, Number.POSITIVE_INFINITY]) {
      const cap = {cpuMillis: 0, memMb: value, gpus: 0};
      expect(errorOf(testCustomer('a', [], {weight: value}))).to.contain('a ');
      expect(errorOf(testCustomer('a', [], {cap}))).to.contain('cap');
    }
  });
});
