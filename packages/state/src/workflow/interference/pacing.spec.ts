import {expect} from 'chai';
import {WorkerPacing, type PaceDecision} from './pacing.js';

const LIST_MS = 500;
const ORDER_MS = 150;
const STOP_MS = 200;
const TARGET_MS = 100;
const LEFTOVER = [1, 2].map(run => ({task: `job.0.0.${run}` as never, run}));

/** A worker whose tail follows the speed of its leftover tasks with a delay. */
class SimulatedWorker {
  readonly pacing = new WorkerPacing();
  readonly orders: PaceDecision[] = [];
  now = 0;
  tailMs = 60;
  lastOverAt = Number.NEGATIVE_INFINITY;
  private percent = 100;
  private due: {at: number; percent: number} | undefined;

  /** Runs for a time; `disturbedMs` is what full speed adds to the tail. */
  run(endMs: number, disturbedMs: number): void {
    for (; this.now < endMs; this.now += 50) {
      if (this.due && this.now >= this.due.at) this.percent = this.due.percent;
      const goal = 60 + (disturbedMs * this.percent) / 100;
      this.tailMs += (goal - this.tailMs) * 0.2;
      if (this.tailMs > TARGET_MS) this.lastOverAt = this.now;
      if (this.now % LIST_MS === 0) this.list();
    }
  }

  private list(): void {
    const {now, tailMs} = this;
    const serving = [{tailMs, targetMs: TARGET_MS}];
    const leftover = this.percent === 0 ? [] : LEFTOVER;
    const orders = this.pacing.observe({now, serving, leftover});
    this.orders.push(...orders);
    const {percent} = this.pacing;
    if (orders.length > 0) {
      const delay = ORDER_MS + (percent === 0 ? STOP_MS : 0);
      this.due = {at: now + delay, percent};
    }
  }
}

describe('pacing beside serving tasks', () => {
  it('a tail over its target ends within 4,500 ms', () => {
    for (const disturbedMs of [50, 90, 200, 350, 900, 5000]) {
      const worker = new SimulatedWorker();
      worker.run(2000, 0);
      worker.run(12_000, disturbedMs);
      const tookMs = worker.lastOverAt - 2000;
      expect(tookMs, `${disturbedMs}`).to.be.within(100, 4500);
    }
  });
  it('tasks are slowed before any is stopped', () => {
    const worker = new SimulatedWorker();
    worker.run(10_000, 5000);
    const kinds = worker.orders.map(({kind}) => kind);
    expect(kinds).to.eql(['pace', 'pace', 'stop', 'stop']);
    const mild = new SimulatedWorker();
    mild.run(10_000, 90);
    expect(mild.orders.map(({kind}) => kind)).to.eql(['pace', 'pace']);
  });
  it('one slow list slows nobody', () => {
    const pacing = new WorkerPacing();
    for (const [i, tailMs] of [60, 900, 60, 90, 900, 60].entries())
      expect(
        pacing.observe({
          now: i * LIST_MS,
          serving: [{tailMs, targetMs: TARGET_MS}],
          leftover: LEFTOVER,
        }),
      ).to.eql([]);
  });
  it('tasks are sped up again once the disturbance is over', () => {
    const worker = new SimulatedWorker();
    worker.run(8000, 350);
    expect(worker.pacing.percent).to.be.below(100);
    worker.run(25_000, 0);
    expect(worker.pacing.percent).to.equal(100);
  });
  it('speed is tried less and less often while it is too much', () => {
    const worker = new SimulatedWorker();
    const changes = (endMs: number): number => {
      const before = worker.orders.length;
      // Over the target at full speed, and calm at the first level.
      worker.run(endMs, 45);
      return worker.orders.length - before;
    };
    const early = changes(60_000);
    expect(early).to.be.above(8);
    changes(180_000);
    expect(changes(240_000)).to.be.below(early / 2);
  });
  it('a new run gets the level of its worker, and all are free without serving tasks', () => {
    const worker = new SimulatedWorker();
    worker.run(6000, 90);
    const {pacing} = worker;
    const late = {task: 'late.0.0.0' as never, run: 1};
    const serving = [{tailMs: 90, targetMs: TARGET_MS}];
    const seen = {now: 6000, serving, leftover: [...LEFTOVER, late]};
    expect(pacing.observe(seen)).to.eql([{kind: 'pace', ...late, percent: 40}]);
    const freed = pacing.observe({...seen, now: 6500, serving: []});
    expect(freed.map(order => 'percent' in order && order.percent)).to.eql([
      100, 100, 100,
    ]);
  });
  it('a tail that is not known changes nothing', () => {
    const worker = new SimulatedWorker();
    worker.run(6000, 90);
    const serving = [{tailMs: 0, targetMs: TARGET_MS}];
    for (let now = 6000; now < 60_000; now += LIST_MS)
      expect(worker.pacing.observe({now, serving, leftover: LEFTOVER})).to.eql(
        [],
      );
  });
});
