import {expect} from 'chai';
import {testQueue} from '../../bundle/fixtures.js';
import type {WorkerId} from '../../ids/types.js';
import {TestLog, testSpec, testStep} from '../fixtures.js';
import {plan} from './core.js';
import {inputOf} from './fixtures.js';
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

describe('tickets of a gang', () => {
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
