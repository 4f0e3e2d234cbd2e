import {expect} from 'chai';
import {authenticate} from './authentication.js';
import {testKeyedCustomer, testDigest, testQueue} from './fixtures.js';
import type {Customer, Queue} from './types.js';

const PRIVATE = testQueue({});
const PUBLIC = testQueue({isPublic: true});

/** Who calls with a key: the name of a customer, or why there is none. */
const callerOf = (
  customers: readonly Customer[] | undefined,
  key?: string,
  queue: Queue = PRIVATE,
): string => {
  const credential = key === undefined ? undefined : testDigest(key);
  const caller = authenticate(customers ? {customers} : {}, queue, credential);
  switch (caller.kind) {
    case 'customer':
      return caller.customer.name;
    case 'denied':
      return caller.cause;
    case 'unchecked':
    case 'anonymous':
      return caller.kind;
  }
};

describe('authentication', () => {
  it('without customers nothing is authenticated, and with an empty list every key is unknown', () => {
    expect(callerOf(undefined)).to.equal('unchecked');
    expect(callerOf(undefined, 'k')).to.equal('unchecked');
    expect(callerOf([])).to.equal('missing');
    expect(callerOf([], 'k')).to.equal('unknown');
  });
  // Guards against a group of similar digests in which only one key is found.
  it('each of 20,000 keys finds its customer, and no other key does', () => {
    const customers = Array.from({length: 400}, (_, c) =>
      testKeyedCustomer(
        `c${c}`,
        Array.from({length: 50}, (_key, k) => `key ${c} ${k}`),
      ),
    );
    for (const [c, {name}] of customers.entries())
      for (let k = 0; k < 50; k++)
        expect(callerOf(customers, `key ${c} ${k}`)).to.equal(name);
    for (let i = 0; i < 5000; i++)
      expect(callerOf(customers, `other ${i}`)).to.equal('unknown');
  });
  it('a key that was moved belongs to its new customer only, and a last key that was removed to nobody', () => {
    const before = [
      testKeyedCustomer('a', ['k']),
      testKeyedCustomer('b', ['l']),
    ];
    const after = [
      testKeyedCustomer('a', []),
      testKeyedCustomer('b', ['l', 'k']),
    ];
    expect(callerOf(before, 'k')).to.equal('a');
    expect(callerOf(after, 'k')).to.equal('b');
    expect(callerOf([testKeyedCustomer('b', [])], 'l')).to.equal('unknown');
  });
  it('a public queue is open to all, and knows the customer of a known key', () => {
    const customers = [testKeyedCustomer('a', ['k'])];
    expect(callerOf(customers, undefined, PUBLIC)).to.equal('anonymous');
    expect(callerOf(customers, 'other', PUBLIC)).to.equal('anonymous');
    expect(callerOf(customers, 'k', PUBLIC)).to.equal('a');
  });
  it('a credential that is no digest is unknown', () => {
    const customers = [testKeyedCustomer('a', ['k'])];
    const short = testDigest('k').slice(0, 20) as never;
    const caller = authenticate({customers}, PRIVATE, short);
    expect(caller).to.eql({kind: 'denied', cause: 'unknown'});
  });
});
