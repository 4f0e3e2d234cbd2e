import {expect} from 'chai';
import {SuspensionDetector} from './suspension.js';

const makeDetector = () => {
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

describe('SuspensionDetector', () => {
  it('adds the duration of a suspension to times before it only', () => {
    const {watch, run} = makeDetector();
    run(100);
    watch.checkClocks();
    run(20, 4020);
    expect(watch.elapsedSince(100)).to.equal(4020);
    run(30);
    expect(watch.elapsedSince(140)).to.equal(10);
    expect(watch.elapsedSince(100)).to.equal(4050);
  });
  it('does not take event loop lag for a suspension', () => {
    const {watch, run} = makeDetector();
    run(5000);
    expect(watch.elapsedSince(0)).to.equal(5000);
  });
  it('does not take a delay between the two clock reads for a suspension', () => {
    let now = 0;
    let delayMs = 0;
    const watch = new SuspensionDetector({
      now: () => now,
      wall: () => {
        now += delayMs;
        delayMs = 0;
        return 1_000_000 + now;
      },
    });
    delayMs = 400;
    watch.checkClocks();
    expect(watch.elapsedSince(0)).to.equal(400);
  });
  it('does not take a slewed or set back wall clock for a suspension, unlike a forward step', () => {
    const {watch, run} = makeDetector();
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
