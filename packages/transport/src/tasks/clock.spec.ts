import {expect} from 'chai';
import {pause, systemClock} from './clock.js';

const PERIOD_MS = 37;

/** Counts the intervals of this spec's period that `act` sets and clears. */
const countTimers = (act: () => void): {set: number; ended: number} => {
  const {setInterval: set, clearInterval: clear} = globalThis;
  const counts = {set: 0, ended: 0};
  const own = new Set<unknown>();
  globalThis.setInterval = ((tick: () => void, ms: number) => {
    const timer = set(tick, ms);
    if (ms === PERIOD_MS) own.add(timer);
    counts.set = own.size;
    return timer;
  }) as typeof setInterval;
  globalThis.clearInterval = (timer => {
    if (own.has(timer)) counts.ended++;
    clear(timer);
  }) as typeof clearInterval;
  try {
    act();
    return counts;
  } finally {
    globalThis.setInterval = set;
    globalThis.clearInterval = clear;
  }
};

describe('ticks of the clock', () => {
  it('tasks with the same period wake an idle VM together', () => {
    const counts = countTimers(() => {
      const first = systemClock.every(PERIOD_MS).subscribe();
      const second = systemClock.every(PERIOD_MS).subscribe();
      first.unsubscribe();
      second.unsubscribe();
    });
    expect(counts).to.eql({set: 1, ended: 1});
  });
  it('a task that ends leaves the ticks of the others', async () => {
    let ticks = 0;
    const first = systemClock.every(PERIOD_MS).subscribe();
    const second = systemClock.every(PERIOD_MS).subscribe(() => ticks++);
    first.unsubscribe();
    await pause(systemClock, 4 * PERIOD_MS);
    expect(ticks).to.be.greaterThan(1);
    second.unsubscribe();
    const told = ticks;
    await pause(systemClock, 3 * PERIOD_MS);
    expect(ticks).to.equal(told);
  });
  it('a period that nobody waits for any more begins anew', async () => {
    systemClock.every(PERIOD_MS).subscribe().unsubscribe();
    let ticks = 0;
    const again = systemClock.every(PERIOD_MS).subscribe(() => ticks++);
    await pause(systemClock, 4 * PERIOD_MS);
    again.unsubscribe();
    expect(ticks).to.be.greaterThan(1);
  });
});
