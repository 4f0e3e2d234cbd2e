import {expect} from 'chai';
import {Registry} from 'prom-client';
import {makeInterferenceObserver} from './interference_pairs.js';

describe('metric of interference', () => {
  it('counting and other pairs are counted, in two series', async () => {
    const registry = new Registry();
    makeInterferenceObserver(registry)({known: 7, counting: 2});
    const text = await registry.metrics();
    for (const series of ['counting"} 2', 'other"} 5'])
      expect(text).to.contain(
        `primrosewick_interference_pairs{pairs="${series}`,
      );
  });
});
