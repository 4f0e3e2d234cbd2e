import {expect} from 'chai';
import {Registry} from 'prom-client';
import {CustomerUsage} from '@primrosewick/state';
import {testSpec, testStep} from '@primrosewick/state/fixtures';
import {registerCustomerGauges} from './customer_gauges.js';

describe('gauges of customers', () => {
  // Guards against series that grow with the customers of a bundle.
  it('there are at most 200 series, and all runs are in them', async () => {
    const usage = new CustomerUsage();
    const owner = {queue: 'q' as never, spec: testSpec([testStep()])};
    for (let i = 0; i < 300; i++)
      usage.add({...owner, customer: `c${i}` as never}, 0);
    const registry = new Registry();
    registerCustomerGauges(registry, {usage});
    const text = await registry.metrics();
    const runs = text
      .split('\n')
      .filter(line => line.startsWith('primrosewick_customer_runs{'));
    expect(runs.length).to.equal(200);
    const sum = runs.reduce((total, line) => {
      return total + Number(line.split(' ').at(-1));
    }, 0);
    expect(sum).to.equal(300);
  });
});
