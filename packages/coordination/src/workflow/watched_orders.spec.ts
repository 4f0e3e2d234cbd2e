import {expect} from 'chai';
import type {HoldAnswer, OrderAnswer, OrderPort} from './ports.js';
import {Silence} from './silence.js';
import {WatchedOrders} from './watched_orders.js';

const TARGET = {worker: 'w1' as never, bornAt: 1, address: '10.0.0.1:1'};
const ENDED = {kind: 'no_answer', detail: 'connection ended'} as const;

/** Orders whose answer comes after a while, on a clock that begins at 1000. */
const makeOrders = (answer: OrderAnswer | HoldAnswer, tookMs: number) => {
  let now = 1000;
  const reply = async () => {
    now += tookMs;
    return answer as never;
  };
  const port: OrderPort = {start: reply, stop: reply, hold: reply};
  const clock = {now: () => now, wall: () => now} as never;
  const silence = new Silence();
  return {silence, orders: new WatchedOrders({port, clock, silence})};
};

const hold = (waitMs: number) => ({fence: 1, endsRecorded: 0, waitMs});

describe('watched orders', () => {
  it('a poll that is cut short while the worker may wait is not dark', async () => {
    const {silence, orders} = makeOrders(ENDED, 900);
    await orders.hold(TARGET, hold(1000));
    expect([silence.since, silence.isDark]).to.eql([1900, false]);
  });
  it('a poll that ends later than its answer was due is dark', async () => {
    const {silence, orders} = makeOrders(ENDED, 1400);
    await orders.hold(TARGET, hold(1000));
    expect(silence.isDark).to.equal(true);
  });
  it('a start that times out is dark', async () => {
    const {silence, orders} = makeOrders(ENDED, 1000);
    await orders.start(TARGET, {} as never);
    expect(silence.isDark).to.equal(true);
  });
  it('the answer to a stop is a sign of life', async () => {
    const {silence, orders} = makeOrders({kind: 'accepted', clockMs: 1}, 10);
    silence.noteFailure(900, {sentAt: 0, dueAt: 0});
    await orders.stop(TARGET, {} as never);
    expect([silence.heardAt, silence.isDark]).to.eql([1010, false]);
  });
  it('what answers at the address for another is no word of the worker', async () => {
    const {silence, orders} = makeOrders({kind: 'other_life'}, 10);
    await orders.start(TARGET, {} as never);
    expect([silence.heardAt, silence.since]).to.eql([undefined, undefined]);
  });
});
