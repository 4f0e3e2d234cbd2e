import {expect} from 'chai';
import {DiskGuard} from './disk_guard.js';

const recordAll = (
  guard: DiskGuard,
  times: number[],
  lagMs = 2,
  busyMs = lagMs,
): boolean[] =>
  times.map((tookMs, i) =>
    guard.recordSync({tookMs, lagMs, idleMs: tookMs - busyMs}, 100 * i),
  );

describe('disk guard', () => {
  it('a disk that stays slow triggers a leadership transfer', () => {
    const decisions = recordAll(
      new DiskGuard(),
      [4, 100, 90, 110, 100, 95, 100],
    );
    expect(decisions.indexOf(true)).to.equal(6);
  });
  it('a few slow syncs among fast ones trigger no transfer', () => {
    const told = recordAll(new DiskGuard(), [100, 100, 4, 100, 100, 100, 4]);
    expect(told).not.to.include(true);
  });
  it('slow syncs right after a transfer trigger no further one', () => {
    const slow = Array<number>(40).fill(100);
    const told = recordAll(new DiskGuard(), slow);
    expect(told.filter(Boolean)).to.have.length(1);
  });
  it('slow syncs of a lagging process trigger no transfer', () => {
    const delayed = Array<number>(40).fill(120);
    expect(recordAll(new DiskGuard(), delayed, 80)).not.to.include(true);
  });
  it('syncs whose end a busy process sees late trigger no transfer', () => {
    const seenLate = Array<number>(40).fill(50);
    expect(recordAll(new DiskGuard(), seenLate, 5, 46)).not.to.include(true);
  });
});
