/** What is counted and measured while this VM leads. */
import type {
  SchedulerOptions,
  WorkflowServiceOptions,
} from '@primrosewick/coordination';
import type {WorkflowDb} from '@primrosewick/state';
import type {Registry} from 'prom-client';
import {registerCancelledIdsGauges} from './cancelled_ids_gauge.js';
import {registerCustomerGauges} from './customer_gauges.js';
import {makeCustomerCounter} from './customer_submissions.js';
import {makeGivenUpCounter} from './given_up_runs.js';
import {makeInterferenceObserver} from './interference_pairs.js';
import {makeQueueWaitObserver} from './queue_waits.js';
import {makeEndCounter} from './reads_around_ends.js';
import {makeSpeedObserver} from './worker_speeds.js';

/** Functions that count what a leader tells of. */
export type LeaderCounters = Pick<
  SchedulerOptions,
  'onWaited' | 'onEnded' | 'onGivenUp' | 'onSpeeds' | 'onInterference'
> &
  Required<Pick<WorkflowServiceOptions, 'onAccepted'>>;

/**
 * Makes them for all leaderships of this VM, and registers the gauges of its
 * replica.
 */
export const makeLeaderCounters = (
  registry: Registry,
  db: Pick<WorkflowDb, 'usage' | 'cancelled'>,
): LeaderCounters => {
  registerCancelledIdsGauges(registry, db);
  registerCustomerGauges(registry, db);
  return {
    onWaited: makeQueueWaitObserver(registry),
    onEnded: makeEndCounter(registry),
    onGivenUp: makeGivenUpCounter(registry),
    onAccepted: makeCustomerCounter(registry),
    onSpeeds: makeSpeedObserver(registry),
    onInterference: makeInterferenceObserver(registry),
  };
};
