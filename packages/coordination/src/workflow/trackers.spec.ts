import {expect} from 'chai';
import bunyan from 'bunyan';
import {taskKey, type TaskRef, type WorkerId} from '@primrosewick/state';
import {ProgressTracker} from './progress_tracker.js';
import {StopLedger} from './stop_ledger.js';
import {OrphanTracker, type OrphanState} from './orphan_tracker.js';
import {WaitLog} from './wait_log.js';

const task = (index: number): TaskRef =>
  ({workflow: 'a', occurrence: 0, step: 0, index}) as never;
const listed = (index: number, percent: number, run = 1) => ({
  task: task(index),
  run,
  checkpoint: `c${percent}`,
  percent,
  load: 0,
});
const KEY = taskKey(task(0));

describe('progress tracker', () => {
  it('the remaining time of a run is estimated from its rate of progress', () => {
    const tracker = new ProgressTracker();
    tracker.note([listed(0, 10)], 1000);
    expect(tracker.remainingMs(KEY, 1, 1000)).to.equal(undefined);
    tracker.note([listed(0, 60)], 2000);
    // 50 % took 1000 ms, so the remaining 40 % take 800 ms, less the time since the list.
    expect(tracker.remainingMs(KEY, 1, 2000)).to.equal(800);
    expect(tracker.remainingMs(KEY, 1, 2300)).to.equal(500);
  });
  it('a later run of a task does not inherit the progress of the earlier one', () => {
    const tracker = new ProgressTracker();
    tracker.note([listed(0, 10)], 1000);
    tracker.note([listed(0, 60)], 2000);
    tracker.note([listed(0, 5, 2)], 3000);
    expect(tracker.remainingMs(KEY, 2, 3000)).to.equal(undefined);
    expect(tracker.checkpointOf(KEY, 1)).to.equal('');
    expect(tracker.checkpointOf(KEY, 2)).to.equal('c5');
  });
  it('a run without progress keeps the time of its last change', () => {
    const tracker = new ProgressTracker();
    for (const now of [1000, 2000, 5000]) tracker.note([listed(0, 40)], now);
    expect([...tracker.values()][0]?.changedAt).to.equal(1000);
  });
});

describe('stop ledger', () => {
  it('a stop is repeated only after the retry interval', () => {
    const stops = new StopLedger();
    expect(stops.note(task(0), 1, 0)).to.equal(true);
    expect(stops.note(task(0), 1, 1000)).to.equal(false);
    expect(stops.note(task(0), 1, 1600)).to.equal(true);
    expect(stops.note(task(0), 2, 1700)).to.equal(true);
  });
  it('only the active run counts as stopping', () => {
    const stops = new StopLedger();
    stops.note(task(0), 1, 0);
    const active = (run: number) => new Map([[KEY, {task: task(0), run}]]);
    expect(stops.stoppingOf(active(1))).to.eql([KEY]);
    expect(stops.stoppingOf(active(2))).to.eql([]);
    expect(stops.stoppingOf(undefined)).to.eql([]);
  });
});

describe('orphan tracker', () => {
  const worker = 'w1' as WorkerId;
  const start = {task: task(0), run: 1};
  const makeTracker = (state: OrphanState) => {
    const world = {state};
    const orphans = new OrphanTracker({
      stateOf: () => world.state,
      maxLeaseMs: 8000,
    });
    const isHeld = (now: number) => orphans.heldBack(now).length > 0;
    return {world, orphans, isHeld};
  };
  it('a task whose start may have reached the next incarnation is held back for a limited time', () => {
    const {orphans} = makeTracker('no_later_life');
    orphans.note({worker, starts: [start], hasNextLife: false}, 1000);
    expect(orphans.heldBack(2000)).to.eql([[KEY, worker]]);
    expect(orphans.heldBack(3500)).to.eql([]);
  });
  // Guards against a customer above its cap: of a straggler and its copy, only the
  // one noted last was counted.
  it('two orphaned runs of a task on different workers are both held', () => {
    const {orphans} = makeTracker('no_later_life');
    const other = 'w2' as WorkerId;
    const copy = {...start, run: 2};
    orphans.note({worker, starts: [start], hasNextLife: true}, 1000);
    orphans.note({worker: other, starts: [copy], hasNextLife: false}, 1000);
    expect(orphans.heldBack(2000)).to.eql([
      [KEY, worker],
      [KEY, other],
    ]);
    expect(orphans.heldBack(3500)).to.eql([[KEY, worker]]);
  });
  // Guards against TWICE: a start that the next incarnation had accepted was made
  // again elsewhere while it ran there.
  it('a task is held back until the next incarnation is known not to run it', () => {
    const {world, orphans, isHeld} = makeTracker('no_later_life');
    orphans.note({worker, starts: [start], hasNextLife: true}, 1000);
    expect(isHeld(6000)).to.equal(true);
    world.state = 'runs';
    expect(isHeld(60_000)).to.equal(true);
    world.state = 'over';
    expect(isHeld(60_001)).to.equal(false);
  });
  it('a run on an incarnation that nobody reaches ends with its lease', () => {
    for (const state of ['unlisted', 'no_later_life'] as const) {
      const {orphans, isHeld} = makeTracker(state);
      orphans.note({worker, starts: [start], hasNextLife: true}, 1000);
      expect([isHeld(11_499), isHeld(11_500)]).to.eql([true, false]);
    }
  });
});

describe('wait log', () => {
  it('a lasting wait is logged at intervals, but not on its first pass', () => {
    const lines: unknown[] = [];
    const logger = bunyan.createLogger({
      name: 'spec',
      streams: [
        {
          type: 'raw',
          stream: {write: (line: unknown) => lines.push(line)} as never,
        },
      ],
    });
    const log = new WaitLog(logger);
    const wait = {
      step: task(0),
      why: 'room' as const,
      taskCount: 1,
      candidateCount: 2,
    };
    for (let now = 0; now <= 4500; now += 100) log.note(wait, now);
    expect(lines).to.have.length(2);
  });
});
