import {expect} from 'chai';
import type {CustomerName} from '../../ids/types.js';
import {seededRandom} from '../../utils/random.js';
import {WorkflowDb} from '../db.js';
import {customerBundle, submitOf} from './fixtures.js';
import {TestLog} from '../fixtures.js';
import {
  CustomerRates,
  DEFAULT_RATE_TERMS,
  rateLimitOf,
} from './customer_rate.js';

const ACME = 'acme' as CustomerName;
const {windowMs} = DEFAULT_RATE_TERMS;

describe('rate of a customer', () => {
  it('the limit follows the weight, and no weight has none', () => {
    expect(rateLimitOf({weight: 4}, DEFAULT_RATE_TERMS)).to.be.closeTo(
      42,
      1e-9,
    );
    expect(rateLimitOf({weight: 0}, DEFAULT_RATE_TERMS)).to.equal(Infinity);
  });
  it('any span of the window counts, not only fixed ones', () => {
    const random = seededRandom(31);
    const rates = new CustomerRates();
    const accepted: number[] = [];
    for (let at = 0; at < 60_000; at += random.nextInt(1, 60)) {
      if (rates.roomAt(ACME, 42, at) > at) continue;
      rates.note(ACME, at);
      accepted.push(at);
    }
    const countAfter = (from: number): number =>
      accepted.filter(at => at >= from && at < from + windowMs).length;
    // The entries of one window are 5 ms wide, so that few more may count.
    expect(Math.max(...accepted.map(countAfter))).to.be.within(42, 44);
  });
  it('the time of room is the earliest at which one more is taken', () => {
    const rates = new CustomerRates();
    for (const at of [1000, 2000, 3000]) rates.note(ACME, at);
    expect(rates.roomAt(ACME, 4, 3500)).to.equal(3500);
    expect(rates.roomAt(ACME, 3, 3500)).to.equal(1000 + windowMs);
    expect(rates.roomAt(ACME, 2, 3500)).to.equal(2000 + windowMs);
    expect(rates.roomAt(ACME, 3, 1000 + windowMs)).to.equal(1000 + windowMs);
  });
  it('a clock that was set back or forward counts nothing that is not known', () => {
    const rates = new CustomerRates();
    for (let i = 0; i < 10; i++) rates.note(ACME, 100_000 + 10 * i);
    expect(rates.countOf(ACME, 50_000)).to.equal(0);
    rates.note(ACME, 50_000);
    expect(rates.countOf(ACME, 50_000)).to.equal(1);
    expect(rates.countOf(ACME, 900_000)).to.equal(0);
  });
  it('memory is bounded, by customer and in customers', () => {
    const rates = new CustomerRates();
    for (let at = 0; at < 20_000; at++) rates.note(ACME, at);
    expect(rates.entryCount).to.be.at.most(1001);
    expect(rates.countOf(ACME, 19_999)).to.be.within(windowMs - 5, windowMs);
    rates.note('other' as CustomerName, 60_000);
    expect(rates.entryCount).to.equal(1);
  });
  it('a new leader counts from the kept records, ended ones as well', () => {
    const log = new TestLog(customerBundle({acme: 1}));
    for (let i = 0; i < 5; i++)
      log.apply(submitOf(`j${i}`, {customer: 'acme', at: 1000 + 100 * i}));
    // A repeated submission is one.
    log.apply(submitOf('j0', {customer: 'acme', at: 1500}));
    log.apply({kind: 'cancel', id: 'j1' as never, at: 1600});
    const restored = new WorkflowDb();
    restored.restore(log.db.toImage());
    expect(log.db.rates.countOf(ACME, 2000)).to.equal(5);
    expect(restored.rates.countOf(ACME, 2000)).to.equal(5);
  });
});
