import {expect} from 'chai';
import type {WorkerId} from '../../ids/types.js';
import type {TaskKey} from '../types.js';
import {RemainingTimes, journaledTimes} from './remaining.js';

const KEY = 'a.0.0.0' as TaskKey;
const OTHER = 'a.0.0.1' as TaskKey;
const [SLOW, FAST] = ['slow', 'fast'] as WorkerId[] as [WorkerId, WorkerId];

/** Times of a worker that runs both tasks. */
const timesOf = (
  remainingMs: (worker: WorkerId, key: TaskKey) => number | undefined,
) => new RemainingTimes({remainingMs, possiblyEndingRuns: () => [KEY, OTHER]});

describe('remaining times', () => {
  it('a run and its copy have separate times, also in a replay', () => {
    const times = timesOf(worker => (worker === SLOW ? 900 : 100));
    times.get(SLOW, KEY);
    times.get(FAST, KEY);
    const replayed = journaledTimes(times.lines);
    expect(replayed.get(SLOW, KEY)).to.equal(900);
    expect(replayed.get(FAST, KEY)).to.equal(100);
  });
  it('a pass that queries a run twice gets the same time', () => {
    let ms = 500;
    const times = timesOf(() => ms--);
    expect([times.get(SLOW, KEY), times.get(SLOW, KEY)]).to.eql([500, 500]);
  });
  it('an unknown time stays unknown in a replay', () => {
    const times = timesOf(() => undefined);
    expect(times.get(SLOW, OTHER)).to.equal(undefined);
    expect(times.lines.remaining).to.eql([]);
  });
  it('a replay reproduces which runs end soon, without their times', () => {
    const times = timesOf((_, key) => (key === KEY ? 100 : 5000));
    expect([...times.endsSoon(SLOW)]).to.eql([KEY]);
    expect(times.lines.remaining).to.eql([]);
    const replayed = journaledTimes(times.lines);
    expect([...replayed.endsSoon(SLOW)]).to.eql([KEY]);
    expect([...replayed.endsSoon(FAST)]).to.eql([]);
  });
});
