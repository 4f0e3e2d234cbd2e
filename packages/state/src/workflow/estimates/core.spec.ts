import {expect} from 'chai';
import {seededRandom} from '../../utils/random.js';
import {WorkflowDb} from '../db.js';
import {TestLog, testSpec, testStep} from '../fixtures.js';
import type {StepSpec} from '../types.js';
import {RunEstimates} from './core.js';

/** Runs whole steps on workers of given speeds; times are in ms. */
class Shop {
  readonly log = new TestLog();
  readonly random = seededRandom(31);
  private now = 1_000_000;
  private count = 0;
  private ends = 0;

  constructor(
    private readonly speeds: Record<string, number>,
    private readonly tailEvery = 0,
  ) {
    for (const worker of Object.keys(speeds)) this.log.addWorker(worker);
  }

  /** Runs one step with a task of the given work on each worker. */
  runStep(workMs: number, part: Partial<StepSpec> = {}, bornAt = 1): void {
    const workers = Object.keys(this.speeds);
    const id = `job${this.count++}`;
    const step = testStep({taskCount: workers.length, ...part});
    this.log.submit(id, testSpec([step]));
    const task = (index: number) =>
      ({workflow: id, occurrence: 0, step: 0, index}) as never;
    const starts = workers.map((worker, index) => ({
      task: task(index),
      run: 1,
      worker: worker as never,
      bornAt,
    }));
    this.log.apply({kind: 'start_runs', starts, at: this.now});
    const slowest = Math.min(...Object.values(this.speeds));
    workers.forEach((worker, index) => {
      const noise = this.random.nextInt(80, 120) / 100;
      const isTail = this.tailEvery > 0 && this.ends % this.tailEvery === 3;
      const speed = step.isGang ? slowest : this.speeds[worker]!;
      const ms = (workMs * noise * (isTail ? 7 : 1)) / speed;
      const sequence = ++this.ends;
      const end = {sequence, run: 1, outcome: 'done', checkpoint: ''} as const;
      this.log.apply({
        kind: 'end_runs',
        life: {worker: worker as never, bornAt},
        ends: [{...end, task: task(index)}],
        at: this.now + Math.round(ms),
      });
    });
    this.now += workMs;
  }

  speedOf(worker: string, bornAt = 1): number {
    return this.log.db.estimates.speedOf({worker: worker as never, bornAt});
  }

  expectedMs(part: Partial<StepSpec> = {}): number {
    const spec = testStep(part);
    const step = {queue: 'queue' as never, step: 0, spec};
    return this.log.db.estimates.expectedMs(step);
  }
}

const UNEVEN = {a: 0.7, b: 0.7, c: 1.7, d: 0.7, e: 1.7, f: 0.7};
const times = (count: number, run: () => void): void => {
  for (let i = 0; i < count; i++) run();
};

describe('run estimates', () => {
  it('speeds that differ are learned within a few ends', () => {
    const shop = new Shop(UNEVEN);
    times(12, () => shop.runStep(2000));
    expect(shop.speedOf('c') / shop.speedOf('a')).to.be.within(1.9, 2.8);
    expect(shop.log.db.estimates.speeds.spread.isUneven).to.equal(true);
  });
  it('even speeds are not taken as uneven, whatever the tails', () => {
    const shop = new Shop({a: 1, b: 1, c: 1, d: 1, e: 1, f: 1}, 33);
    times(300, () => {
      shop.runStep(2000);
      expect(shop.log.db.estimates.speeds.spread.isUneven).to.equal(false);
    });
  });
  it('one tail does not make a worker slow', () => {
    const first = new Shop({a: 1, b: 1, c: 1, d: 1}, 1000);
    first.runStep(2000);
    expect(first.speedOf('d')).to.be.within(0.9, 1.1);
    const shop = new Shop({a: 1, b: 1, c: 1, d: 1}, 47);
    times(12, () => shop.runStep(2000));
    for (const worker of ['a', 'b', 'c', 'd'])
      expect(shop.speedOf(worker)).to.be.within(0.85, 1.18);
  });
  it('estimates that are far off are replaced after 8 steps, not before', () => {
    const shop = new Shop({a: 1, b: 1, c: 1});
    times(7, () => shop.runStep(3000));
    expect(shop.expectedMs()).to.equal(1000);
    shop.runStep(3000);
    expect(shop.expectedMs()).to.be.within(2600, 3400);
  });
  it('estimates that prove right are used as they are', () => {
    const shop = new Shop({a: 1, b: 1, c: 1});
    times(30, () => shop.runStep(1050));
    expect(shop.expectedMs()).to.equal(1000);
    expect(shop.expectedMs({estimateMs: 7000})).to.equal(7000);
  });
  it('one slow image does not change what is expected of another', () => {
    const shop = new Shop({a: 1, b: 1, c: 1});
    times(20, () => {
      shop.runStep(9000, {image: 'slow'});
      shop.runStep(1000, {image: 'quick'});
    });
    expect(shop.expectedMs({image: 'slow'})).to.be.within(8000, 10_000);
    expect(shop.expectedMs({image: 'quick'})).to.equal(1000);
    expect(shop.speedOf('a')).to.be.within(0.9, 1.1);
  });
  it('a gang tells a time at the speed of its slowest worker, and no speeds', () => {
    const shop = new Shop(UNEVEN);
    times(20, () => shop.runStep(2000, {isGang: true}));
    expect(shop.speedOf('c')).to.equal(1);
    times(20, () => shop.runStep(2000, {image: 'other'}));
    times(60, () => shop.runStep(2000, {isGang: true}));
    const slowest = Math.min(...['a', 'b', 'd'].map(w => shop.speedOf(w)));
    expect(shop.expectedMs()).to.be.within(
      (0.85 * 2000 * slowest) / 0.7,
      (1.15 * 2000 * slowest) / 0.7,
    );
  });
  it('a worker that restarts slower is relearned from little weight', () => {
    const speeds = {...UNEVEN};
    const shop = new Shop(speeds);
    times(40, () => shop.runStep(2000));
    const before = shop.speedOf('c');
    for (const worker of Object.keys(speeds))
      shop.log.addWorker(worker, {bornAt: 2});
    speeds.c = 0.7;
    expect(shop.speedOf('c', 2)).to.be.within(1, before);
    times(12, () => shop.runStep(2000, {}, 2));
    expect(shop.speedOf('c', 2) / shop.speedOf('a', 2)).to.be.below(1.25);
  });
  it('a voter that is restored from an image goes on with the same values', () => {
    const shop = new Shop(UNEVEN, 20);
    times(9, () => shop.runStep(2600));
    const restored = new WorkflowDb();
    restored.restore(JSON.parse(JSON.stringify(shop.log.db.toImage())));
    const apply = shop.log.db.apply.bind(shop.log.db);
    shop.log.db.apply = (index, command) => {
      restored.apply(index, command);
      return apply(index, command);
    };
    times(15, () => shop.runStep(2600));
    expect(restored.estimates.toImage()).to.eql(
      shop.log.db.estimates.toImage(),
    );
  });
  it('an image of the largest state stays below 256 KB', () => {
    const estimates = new RunEstimates();
    const at = 1_765_060_000_000;
    for (let i = 0; i < 4000; i++) {
      const ref = {
        workflow: `workflow-${i}-0123456789` as never,
        occurrence: 0,
        step: 0,
      };
      const spec = testStep({image: `image-${i % 700}`});
      for (let run = 0; run < 12; run++) {
        const worker = `worker-${(12 * i + run) % 3000}` as never;
        estimates.noteRun(ref, {worker, bornAt: at}, 1234 + 17 * run);
      }
      const step = {queue: 'queue' as never, step: 0, spec};
      if (i < 3600) estimates.complete(ref, step, at + i);
    }
    const size = JSON.stringify(estimates.toImage()).length;
    expect(size).to.be.within(100_000, 256 * 1024);
  });
});
