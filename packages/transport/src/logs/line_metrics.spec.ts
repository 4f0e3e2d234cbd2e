import {expect} from 'chai';
import {Registry} from 'prom-client';
import {LineMetrics} from './line_metrics.js';

describe('LineMetrics', () => {
  it('counts a refusal by its reason code and observes its wait time', async () => {
    const registry = new Registry();
    const metrics = new LineMetrics(registry);
    metrics.write({decision: 'refuse', err: {code: 'queue_full'}});
    metrics.write({decision: 'start', waitMs: 30});
    metrics.write({change: 'leader_lost'});
    const text = await registry.metrics();
    expect(text).to.contain(
      'primrosewick_decisions_total{decision="refuse",outcome="queue_full"} 1',
    );
    expect(text).to.contain(
      'primrosewick_decision_wait_ms_bucket{le="50",decision="start"} 1',
    );
    expect(text).to.contain(
      'primrosewick_changes_total{change="leader_lost"} 1',
    );
  });
  it('observes the duration of a change that states how long it took', async () => {
    const registry = new Registry();
    const metrics = new LineMetrics(registry);
    metrics.write({change: 'compacted', tookMs: 120});
    const text = await registry.metrics();
    expect(text).to.contain('primrosewick_changes_total{change="compacted"} 1');
    expect(text).to.contain(
      'primrosewick_change_took_ms_bucket{le="200",change="compacted"} 1',
    );
  });
});
