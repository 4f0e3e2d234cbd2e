import {expect} from 'chai';
import {Registry} from 'prom-client';
import {Subject} from 'rxjs';
import type {WorkflowCommand} from '@primrosewick/state';
import type {Clock} from '@primrosewick/transport';
import {observeEndAges} from './end_ages.js';

const END = {
  kind: 'end_runs',
  ends: [],
  at: 1000,
} as unknown as WorkflowCommand;
const OTHER = {kind: 'cancel', id: 'a', at: 1000} as unknown as WorkflowCommand;

describe('age of run ends', () => {
  it('an end is observed only once the replica is ready', async () => {
    const registry = new Registry();
    const replica = {applied: new Subject<WorkflowCommand>(), isReady: false};
    const clock = {wall: () => 1150} as unknown as Clock;
    observeEndAges(replica, clock, registry);
    replica.applied.next(END);
    replica.isReady = true;
    replica.applied.next(END);
    replica.applied.next(OTHER);
    const text = await registry.metrics();
    expect(text).to.contain('primrosewick_end_age_ms_bucket{le="100"} 0');
    expect(text).to.contain('primrosewick_end_age_ms_bucket{le="200"} 1');
    expect(text).to.contain('primrosewick_end_age_ms_count 1');
  });
});
