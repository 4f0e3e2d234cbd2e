import {expect} from 'chai';
import {LogRateLimiter} from './log_rate_limiter.js';

describe('line budget', () => {
  it('lines beyond the bound are left out, and their number is told with the next', () => {
    const budget = new LogRateLimiter(2, 1000);
    const taken = [0, 1, 2, 999, 1000, 1001, 1002].map(now => budget.take(now));
    expect(taken.map(line => line?.skipped)).to.eql([
      0,
      0,
      undefined,
      undefined,
      2,
      0,
      undefined,
    ]);
  });
  it('what was left out long ago is still told', () => {
    const budget = new LogRateLimiter(1, 1000);
    budget.take(0);
    budget.take(1);
    expect(budget.take(60_000)).to.eql({skipped: 1});
  });
});
