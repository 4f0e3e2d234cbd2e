import {expect} from 'chai';
import {SuspensionDetector} from './suspension.js';

const makeWatch = () => {
  const time = {now: 0, wall: 1_000_000};
  const watch = new SuspensionDetector({
    now: () => time.now,
    wall: () => time.wall,
  });
  const run = (ms: number, wallMs = ms): void => {
    time.now += ms;
    time.wall += wallMs;
  };
  return {watch, run};
};

describe('suspension watch', () => {
  it('the time for which a VM was suspended counts for what was before', () => {
    const {watch, run} = makeWatch();
    run(100);
    watch.checkClocks();
    run(20, 4020);
    expect(watch.elapsedSince(100)).to.equal(4020);
    run(30);
    expect(watch.elapsedSince(140)).to.equal(10);
    expect(watch.elapsedSince(100)).to.equal(4050);
  });
  it('a process that is only late ages as its clock says', () => {
    const {watch, run} = makeWatch();
    run(5000);
    expect(watch.elapsedSince(0)).to.equal(5000);
  });
  it('a process that is kept from running between two reads was not suspended', () => {
    let now = 0;
    let keptMs = 0;
    const watch = new SuspensionDetector({
      now: () => now,
      wall: () => {
        now += keptMs;
        keptMs = 0;
        return 1_000_000 + now;
      },
    });
    keptMs = 400;
    watch.checkClocks();
    expect(watch.elapsedSince(0)).to.equal(400);
  });
  it('a wall clock that is adjusted slowly or set back is no suspension', () => {
    const {watch, run} = makeWatch();
    run(600_000, 600_300);
    expect(watch.elapsedSince(0)).to.equal(600_000);
    run(10, -5000);
    expect(watch.elapsedSince(0)).to.equal(600_010);
    run(10, 5010);
    expect(watch.elapsedSince(600_020)).to.equal(5000);
    run(1);
    expect(watch.elapsedSince(600_021)).to.equal(0);
  });
});
