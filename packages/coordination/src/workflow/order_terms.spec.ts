import {expect} from 'chai';
import {LEASE_MS} from './order_terms.js';
import {WorkerClock} from './worker_clock.js';

/** Longest time for which a workflow may have no run after its worker is gone, in ms. */
const MAX_STAND_MS = 7000;
/** Time in which starts still go to a worker that has fallen silent, in ms. */
const UNNOTICED_MS = 250;
/** Time to record the end of the runs, to plan and to start them anew, in ms. */
const RESTART_MS = 400;

describe('terms of orders', () => {
  // Guards against LOST: runs of a worker that was gone waited 7.3 s for its lease.
  it('the lease of a worker that is gone ends before its work may stand too long', () => {
    const clock = new WorkerClock({
      maxGrantedMs: 10_000,
      previousLeaderUntil: 0,
    });
    clock.note(0, 100);
    clock.noteSoleLeader(-20_000);
    clock.leaseFor(UNNOTICED_MS, LEASE_MS);
    expect(clock.lapseAt + RESTART_MS).to.be.below(MAX_STAND_MS);
  });
});
