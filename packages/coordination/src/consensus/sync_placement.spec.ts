import {expect} from 'chai';
import {SyncPlacement} from './sync_placement.js';

const BUSY = {tookMs: 60, lagMs: 5, idleMs: 4};

describe('placement of syncs', () => {
  it('a busy leader waits for its disk in place, and looks again after a while', () => {
    const placement = new SyncPlacement();
    expect(placement.isInPlace(0)).to.equal(false);
    placement.recordBackground(BUSY, 100);
    expect(placement.isInPlace(101)).to.equal(true);
    placement.recordInPlace(4, 105);
    expect(placement.isInPlace(590)).to.equal(true);
    expect(placement.isInPlace(601)).to.equal(false);
  });
  it('a loop that has nothing to do, or a fast sync, leaves the sync to the background', () => {
    const placement = new SyncPlacement();
    placement.recordBackground({tookMs: 120, lagMs: 2, idleMs: 115}, 100);
    expect(placement.isInPlace(101)).to.equal(false);
    placement.recordBackground({tookMs: 8, lagMs: 0, idleMs: 1}, 200);
    expect(placement.isInPlace(201)).to.equal(false);
  });
  it('a slow disk stops the loop only once in a while', () => {
    const placement = new SyncPlacement();
    placement.recordBackground(BUSY, 100);
    placement.recordInPlace(130, 230);
    for (let now = 231; now < 3200; now += 60) {
      expect(placement.isInPlace(now)).to.equal(false);
      placement.recordBackground({...BUSY, tookMs: 300}, now);
    }
    expect(placement.isInPlace(3300)).to.equal(true);
  });
});
