import {expect} from 'chai';
import {Registry} from 'prom-client';
import {makeSpeedObserver} from './worker_speeds.js';

describe('metric of worker speeds', () => {
  it('slow, even and fast workers are counted, in three series', async () => {
    const registry = new Registry();
    const spread = {isUneven: true, slowest: 0.7, fastest: 1.7};
    makeSpeedObserver(registry)({
      ...spread,
      knownCount: 9,
      slowCount: 5,
      fastCount: 3,
    });
    const text = await registry.metrics();
    for (const series of ['slow"} 5', 'even"} 1', 'fast"} 3'])
      expect(text).to.contain(`primrosewick_worker_speeds{speed="${series}`);
  });
});
