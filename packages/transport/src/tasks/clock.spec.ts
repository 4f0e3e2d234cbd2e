import {expect} from 'chai';
import {pause, systemClock} from './clock.js';

const PERIOD_MS = 37;

/** Counts the intervals of this spec's period that `act` sets and clears. */
const countTimers = (act: () => void): {set: number; ended: number} => {
  const {setInterval: set, clearInterval: clear} = globalThis;
  const counts = {set: 0, ended: 0};
  const matching = new Set<unknown>();
  globalThis.setInterval = ((tick: () => void, ms: number) => {
    const timer = set(tick, ms);
    if (ms === PERIOD_MS) matching.add(timer);
    counts.set = matching.size;
    return timer;
  }) as typeof setInterval;
  globalThis.clearInterval = (timer => {
    if (matching.has(timer)) counts.ended++;
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

describe('systemClock.every', () => {
  it('shares one timer among subscribers to the same period', () => {
    const counts = countTimers(() => {
      const first = systemClock.every(PERIOD_MS).subscribe();
      const second = systemClock.every(PERIOD_MS).subscribe();
      first.unsubscribe();
      second.unsubscribe();
    });
    expect(counts).to.eql({set: 1, ended: 1});
  });
  it('keeps emitting to other subscribers after one unsubscribes', async () => {
    let ticks = 0;
    const first = systemClock.every(PERIOD_MS).subscribe();
    const second = systemClock.every(PERIOD_MS).subscribe(() => ticks++);
    first.unsubscribe();
    await pause(systemClock, 4 * PERIOD_MS);
    expect(ticks).to.be.greaterThan(1);
    second.unsubscribe();
    const ticksAtEnd = ticks;
    await pause(systemClock, 3 * PERIOD_MS);
    expect(ticks).to.equal(ticksAtEnd);
  });
  it('starts again when a period without subscribers gets a new one', async () => {
    systemClock.every(PERIOD_MS).subscribe().unsubscribe();
    let ticks = 0;
    const again = systemClock.every(PERIOD_MS).subscribe(() => ticks++);
    await pause(systemClock, 4 * PERIOD_MS);
    again.unsubscribe();
    expect(ticks).to.be.greaterThan(1);
  });
});
