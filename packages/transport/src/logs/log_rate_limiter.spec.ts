import {expect} from 'chai';
import {LogRateLimiter} from './log_rate_limiter.js';

describe('LogRateLimiter', () => {
  it('skips lines beyond the limit and reports their number with the next line', () => {
    const limiter = new LogRateLimiter(2, 1000);
    const taken = [0, 1, 2, 999, 1000, 1001, 1002].map(now =>
      limiter.take(now),
    );
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
  it('reports skipped lines even if the next line comes many windows later', () => {
    const limiter = new LogRateLimiter(1, 1000);
    limiter.take(0);
    limiter.take(1);
    expect(limiter.take(60_000)).to.eql({skipped: 1});
  });
});
