import {expect} from 'chai';
import {testQueue} from '../../bundle/fixtures.js';
import type {WorkerId} from '../../ids/types.js';
import {TestLog, testSpec, testStep} from '../fixtures.js';
import {plan} from './core.js';
import {EARLY, busyLog, inputOf} from './fixtures.js';
import type {Ticket} from './types.js';

const TIMING = {baseMs: 400, perWorkerMs: 5, validMs: 1000};
const WORKERS = ['w0', 'w1', 'w2'] as never[] as WorkerId[];

/** A gang with one member on each of three workers. */
const gangLog = (): TestLog => {
  const log = new TestLog({queues: [testQueue({advice: TIMING})]});
  for (const worker of WORKERS) log.addWorker(worker);
  log.submit('gang', testSpec([testStep({taskCount: 12, isGang: true})]));
  return log;
};

/** Tickets by worker, valid until the given times in ms. */
const ticketsUntil = (...until: number[]): Map<WorkerId, Ticket> =>
  new Map(
    until.map((validUntil, i) => [
      WORKERS[i]!,
      {bornAt: 1, text: 't', validUntil},
    ]),
  );

/** Plans passes whose requests are answered in time; counts these until the gang starts. */
const countRenewals = (tickets: Map<WorkerId, Ticket>): number => {
  const log = gangLog();
  const all = new Set(WORKERS);
  for (let calls = 0, now = 0; calls < 10; calls++) {
    const advice = {asked: all, allowed: all, tickets, isAsking: false};
    const {starts, advice: requests} = plan(
      inputOf(log, {now, adviceOf: () => advice}),
    );
    if (starts.length > 0) return calls;
    const [request] = requests;
    now += TIMING.baseMs + TIMING.perWorkerMs * request!.workers.length;
    for (const worker of request!.workers)
      tickets.set(worker, {
        bornAt: 1,
        text: 't',
        validUntil: now + TIMING.validMs,
      });
  }
  return Number.POSITIVE_INFINITY;
};

/**
 * Plans a pass in which a gang lacks room for one member and its ticket has
 * lapsed, beside two more small tasks; there is room for two.
 * @returns the workflows whose tasks start, and the number of stops.
 */
const planBesideGang = (isCheckpointable: boolean) => {
  const small = testStep({taskCount: 2, isCheckpointable: true});
  const log = busyLog(small, TIMING);
  log.submit(
    'gang',
    testSpec([testStep({taskCount: 3, isGang: true})]),
    'wide',
  );
  log.submit('more', testSpec([{...small, isCheckpointable}]), 'small');
  const workers = new Set(['w1' as never]);
  const tickets = new Map([
    ['w1' as never, {bornAt: 1, text: 't', validUntil: 0}],
  ]);
  const advice = {asked: workers, allowed: workers, tickets, isAsking: true};
  const {starts, stops} = plan(
    inputOf(log, {...EARLY, adviceOf: () => advice}),
  );
  return {
    started: starts.map(({task}) => task.workflow),
    stopCount: stops.length,
  };
};

describe('tickets of a gang', () => {
  it('room does not stand idle while the tickets of a gang are renewed', () => {
    expect(planBesideGang(true)).to.eql({
      started: ['more', 'more'],
      stopCount: 0,
    });
  });
  it('tasks that cannot give way do not take the room of a gang meanwhile', () => {
    expect(planBesideGang(false)).to.eql({started: [], stopCount: 0});
  });
  it('a gang whose tickets lapse one after another starts after one renewal', () => {
    expect(countRenewals(ticketsUntil(0, 300, 700))).to.equal(1);
  });
  it('tickets that outlast the call are not renewed with the lapsed ones', () => {
    const log = gangLog();
    const all = new Set(WORKERS);
    const tickets = ticketsUntil(0, 2000, 2000);
    const advice = {asked: all, allowed: all, tickets, isAsking: false};
    const {advice: requests} = plan(inputOf(log, {adviceOf: () => advice}));
    expect(requests.map(({workers}) => workers)).to.eql([['w0']]);
  });
});
