import {expect} from 'chai';
import {Registry} from 'prom-client';
import {LineMetrics} from './line_metrics.js';

describe('line metrics', () => {
  it('a refusal is counted by its reason, a wait by its time', async () => {
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
  it('a change that kept the process is counted with its time', async () => {
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
