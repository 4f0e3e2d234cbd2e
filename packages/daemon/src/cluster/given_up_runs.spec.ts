import {expect} from 'chai';
import {Registry} from 'prom-client';
import {makeGivenUpCounter} from './given_up_runs.js';

describe('runs given up', () => {
  it('all runs of a record are counted under its reason', async () => {
    const registry = new Registry();
    const count = makeGivenUpCounter(registry);
    count('other_life', 9);
    count('lease_lapsed', 1);
    const text = await registry.metrics();
    const name = 'primrosewick_runs_given_up_total';
    expect(text).to.contain(`${name}{reason="other_life"} 9`);
    expect(text).to.contain(`${name}{reason="lease_lapsed"} 1`);
  });
});
