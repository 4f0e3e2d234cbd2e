import {expect} from 'chai';
import {DiskGuard} from './disk_guard.js';

const noteAll = (guard: DiskGuard, times: number[], lagMs = 2): boolean[] =>
  times.map((tookMs, i) => guard.note({tookMs, lagMs}, 100 * i));

describe('disk guard', () => {
  it('a disk that stays slow costs the leadership', () => {
    const told = noteAll(new DiskGuard(), [4, 100, 90, 110, 100, 95, 100]);
    expect(told.indexOf(true)).to.equal(6);
  });
  it('a few slow syncs among fast ones do not', () => {
    const told = noteAll(new DiskGuard(), [100, 100, 4, 100, 100, 100, 4]);
    expect(told).not.to.include(true);
  });
  it('where all disks are slow, the leadership is not passed around', () => {
    const slow = Array<number>(40).fill(100);
    const told = noteAll(new DiskGuard(), slow);
    expect(told.filter(Boolean)).to.have.length(1);
  });
  it('a leader that a burst makes late with everything keeps its place', () => {
    const late = Array<number>(40).fill(120);
    expect(noteAll(new DiskGuard(), late, 80)).not.to.include(true);
  });
});
