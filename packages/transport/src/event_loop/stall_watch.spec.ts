import {expect} from 'chai';
import {Subject} from 'rxjs';
import {StallWatch} from './stall_watch.js';

/** A watch whose ticks and clocks the spec moves. */
const makeWatch = () => {
  const time = {now: 0, wall: 1_000_000};
  const ticks = new Subject<void>();
  const watch = new StallWatch({
    now: () => time.now,
    wall: () => time.wall,
    every: () => ticks,
    after: () => new Subject<void>(),
  });
  watch.start();
  const run = (ms: number, wallMs = ms): void => {
    time.now += ms;
    time.wall += wallMs;
  };
  const tick = (): void => {
    run(100);
    ticks.next();
  };
  return {watch, run, tick};
};

describe('stall watch', () => {
  it('a process that reads its sockets regularly has not stood still', () => {
    const {watch, run, tick} = makeWatch();
    for (let i = 0; i < 5; i++) tick();
    run(90);
    expect(watch.unreadMs).to.equal(0);
  });
  it('what is read after a stall may have waited for all of it, a tick later too', () => {
    const {watch, run, tick} = makeWatch();
    for (let i = 0; i < 5; i++) tick();
    run(5000);
    expect(watch.unreadMs).to.equal(5100);
    tick();
    expect(watch.unreadMs).to.equal(5100);
    tick();
    expect(watch.unreadMs).to.equal(0);
  });
  it('a suspension counts though the monotonic clock stood still', () => {
    const {watch, run, tick} = makeWatch();
    for (let i = 0; i < 5; i++) tick();
    run(10, 4000);
    expect(watch.unreadMs).to.equal(4100);
    tick();
    tick();
    expect(watch.unreadMs).to.equal(0);
  });
});
