import {expect} from 'chai';
import {Registry} from 'prom-client';
import {makeRecordObservers} from './record_times.js';

describe('record time metrics', () => {
  it('a record is observed, and a refusal counted under its queue', async () => {
    const registry = new Registry();
    const {onRecorded, onRefused} = makeRecordObservers(registry);
    onRecorded(700);
    onRefused('tally' as never);
    const metrics = await registry.metrics();
    expect(metrics).to.contain('primrosewick_record_ms_bucket{le="1000"} 1');
    expect(metrics).to.contain(
      'primrosewick_records_slow_refused_total{queue="tally"} 1',
    );
  });
});
