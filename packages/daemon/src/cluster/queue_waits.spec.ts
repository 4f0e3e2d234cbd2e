import {expect} from 'chai';
import {Registry} from 'prom-client';
import {makeQueueWaitObserver} from './queue_waits.js';

describe('queue wait metric', () => {
  it('an ended wait is observed under its queue and reason', async () => {
    const registry = new Registry();
    const observe = makeQueueWaitObserver(registry);
    observe({queue: 'tally' as never, reason: 'advice_turn', waitMs: 1500});
    expect(await registry.metrics()).to.contain(
      'primrosewick_queue_wait_ms_bucket{le="2000",queue="tally",reason="advice_turn"} 1',
    );
  });
});
