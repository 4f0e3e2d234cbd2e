import {expect} from 'chai';
import {seededRandom} from '../../utils/random.js';
import {WorkflowDb} from '../db.js';
import {TestLog, testSpec, testStep} from '../fixtures.js';
import {MAX_PAIRS} from './pairs.js';
import type {TaskKind} from './types.js';

const WORKERS = ['w0', 'w1', 'w2', 'w3', 'w4', 'w5', 'w6', 'w7'];
const VICTIM = '@victim' as TaskKind;
/** Image of the neighbour beside each victim, by worker. */
type Beside = Readonly<Record<string, string>>;

interface StepTimes {
  /** Factor of a run on a worker beside a neighbour. */
  readonly factorOf?: (worker: string, neighbour?: string) => number;
  readonly tailEvery?: number;
}

/** Runs steps of victims, some beside a neighbour; times are in ms. */
class Shop {
  readonly log = new TestLog();
  readonly random: ReturnType<typeof seededRandom>;
  private now = 1_000_000;
  private count = 0;
  private ends = 0;

  constructor(seed: number) {
    this.random = seededRandom(seed);
    for (const worker of WORKERS) this.log.addWorker(worker);
    for (let i = 0; i < 8; i++) this.runStep({});
  }

  /** A neighbour on three workers. */
  someBeside(image = 'loud'): Beside {
    const first = this.random.nextInt(0, WORKERS.length - 1);
    const chosen = [0, 1, 3].map(i => WORKERS[(first + i) % WORKERS.length]);
    return Object.fromEntries(chosen.map(worker => [worker, image]));
  }

  runStep(beside: Beside, {factorOf, tailEvery = 0}: StepTimes = {}): void {
    const neighbours = Object.entries(beside).map(([worker, image]) => {
      const id = this.submit([testStep({image})]);
      this.start(worker, id, 0);
      return {worker, id};
    });
    const victims = this.submit([
      testStep({taskCount: WORKERS.length, image: 'victim'}),
    ]);
    WORKERS.forEach((worker, index) => this.start(worker, victims, index));
    const times = WORKERS.map((worker, index) => {
      const noise = this.random.nextInt(85, 115) / 100;
      const isTail = tailEvery > 0 && this.random.nextInt(1, tailEvery) === 1;
      const factor = factorOf?.(worker, beside[worker]) ?? 1;
      return {worker, index, ms: 2000 * noise * factor * (isTail ? 7 : 1)};
    });
    times.sort((a, b) => a.ms - b.ms);
    for (const {worker, index, ms} of times)
      this.end(worker, victims, index, this.now + Math.round(ms));
    const last = this.now + Math.round(times.at(-1)?.ms ?? 0);
    for (const {worker, id} of neighbours) this.end(worker, id, 0, last);
    this.now = last + 1000;
  }

  /** Ends of victims beside a kind until it counts; undefined if it never does. */
  endsUntilFound(image: string, maxEnds: number, times: StepTimes) {
    let ends = 0;
    while (ends < maxEnds) {
      const beside = this.someBeside(image);
      this.runStep(beside, times);
      ends += Object.keys(beside).length;
      if (this.ratioOf(image) > 1) return ends;
    }
    return undefined;
  }

  ratioOf(image: string): number {
    const {pairs} = this.log.db.interference;
    return Math.exp(pairs.logOf(VICTIM, `@${image}` as TaskKind, this.now));
  }

  private submit(steps: Parameters<typeof testSpec>[0]): string {
    const id = `job${this.count++}`;
    this.log.submit(id, testSpec(steps));
    return id;
  }

  private start(worker: string, workflow: string, index: number): void {
    const task = {workflow, occurrence: 0, step: 0, index} as never;
    const start = {task, run: 1, worker: worker as never, bornAt: 1};
    this.log.apply({kind: 'start_runs', starts: [start], at: this.now});
  }

  private end(worker: string, workflow: string, index: number, at: number) {
    const task = {workflow, occurrence: 0, step: 0, index} as never;
    const sequence = ++this.ends;
    const end = {sequence, run: 1, outcome: 'done', checkpoint: ''} as const;
    const life = {worker: worker as never, bornAt: 1};
    this.log.apply({kind: 'end_runs', life, ends: [{...end, task}], at});
  }
}

const SEEDS = Array.from({length: 20}, (_, i) => 700 + i);
const slowedBy =
  (image: string, factor: number): StepTimes['factorOf'] =>
  (_, neighbour) =>
    neighbour === image ? factor : 1;

describe('interference', () => {
  it('a neighbour that slows by 30 % or more is found within 30 ends', () => {
    for (const factor of [1.3, 1.4, 2]) {
      const found = SEEDS.filter(seed => {
        const times = {factorOf: slowedBy('loud', factor)};
        return new Shop(seed).endsUntilFound('loud', 30, times) !== undefined;
      });
      expect(found, `${factor}`).to.have.length(SEEDS.length);
    }
  });
  it('among tails of 7 times, it is found as well', () => {
    const found = SEEDS.filter(seed => {
      const factorOf = slowedBy('loud', 1.5);
      const times = {factorOf, tailEvery: 33};
      return new Shop(seed).endsUntilFound('loud', 30, times) !== undefined;
    });
    expect(found.length).to.be.at.least(18);
  });
  it('a neighbour that slows by 10 % does not count', () => {
    for (const seed of SEEDS) {
      const times = {factorOf: slowedBy('loud', 1.1)};
      expect(new Shop(seed).endsUntilFound('loud', 200, times)).to.equal(
        undefined,
      );
    }
  });
  it('neither a slow worker, tails nor a burst blame a neighbour', () => {
    for (const seed of SEEDS) {
      const shop = new Shop(seed);
      for (let i = 0; i < 50; i++) {
        const isBurst = i % 10 >= 7;
        const loud = shop.someBeside();
        // The neighbour always runs on the worker that has become slow.
        shop.runStep(isBurst ? loud : {...loud, w3: 'loud'}, {
          factorOf: worker => (worker === 'w3' ? 2.4 : 1) * (isBurst ? 3 : 1),
          tailEvery: 33,
        });
        expect(shop.ratioOf('loud'), `seed ${seed}, step ${i}`).to.equal(1);
      }
    }
  });
  it('one worker alone, or two, never blame a neighbour', () => {
    const one = {w3: 'loud'};
    for (const beside of [one, {...one, w5: 'loud'}]) {
      const shop = new Shop(8);
      for (let i = 0; i < 40; i++) {
        const factorOf = slowedBy('loud', 2);
        shop.runStep(i % 2 === 0 ? beside : {}, {factorOf});
        expect(shop.ratioOf('loud'), `step ${i}`).to.equal(1);
      }
    }
  });
  // Guards against comparing members of a step before and in a burst.
  it('staggered members of a step are not compared with each other', () => {
    const {interference} = new WorkflowDb();
    const speeds = {knownLogOf: () => 0};
    for (let i = 0; i < 10; i++) {
      const ref = {workflow: `job${i}` as never, occurrence: 0, step: 0};
      WORKERS.forEach((worker, index) => {
        const isLate = index % 2 === 1;
        interference.noteRun(ref, {
          worker: worker as never,
          bornAt: 1,
          from: isLate ? 2000 : 0,
          until: isLate ? 6000 : 2000,
          neighbours: isLate ? [['@loud' as TaskKind, 1]] : [],
        });
      });
      interference.complete(ref, VICTIM, speeds);
    }
    expect(interference.pairs.size).to.equal(0);
  });
  // Guards against blame where most ends are of a worker that has become slow.
  it('a pair with most of the ends from one worker does not count', () => {
    for (const [share, counts] of [
      [1, true],
      [8, false],
    ] as const) {
      const {pairs} = new WorkflowDb().interference;
      const pair = {victim: VICTIM, neighbour: '@loud' as TaskKind};
      for (let i = 0; i < 60; i++) {
        const worker = (i % (share + 3) < share ? 'w3' : `w${i % 3}`) as never;
        pairs.note({...pair, worker, log: 0.5, gain: 1, at: 0});
      }
      expect(pairs.logOf(VICTIM, pair.neighbour, 0) > 0).to.equal(counts);
    }
  });
  it('a disturbance that moves to another pair is followed', () => {
    const shop = new Shop(5);
    const loud = {factorOf: slowedBy('loud', 1.6)};
    expect(shop.endsUntilFound('loud', 30, loud)).to.be.a('number');
    const other = {factorOf: slowedBy('other', 1.6)};
    expect(shop.endsUntilFound('other', 30, other)).to.be.a('number');
    for (let i = 0; i < 10; i++) shop.runStep(shop.someBeside('loud'), other);
    expect(shop.ratioOf('loud')).to.equal(1);
  });
  it('what is known of neighbours does not make their workers slow', () => {
    const shop = new Shop(6);
    const times = {factorOf: slowedBy('loud', 2)};
    shop.endsUntilFound('loud', 30, times);
    for (let i = 0; i < 20; i++) {
      const beside = {w0: 'loud', w1: 'loud', w2: 'loud'};
      shop.runStep(beside, times);
    }
    const {speeds} = shop.log.db.estimates;
    const life = {worker: 'w0' as never, bornAt: 1};
    expect(Math.exp(speeds.logOf(life))).to.be.within(0.85, 1.15);
  });
  it('a voter restored from an image learns the same', () => {
    const shop = new Shop(7);
    const times = {factorOf: slowedBy('loud', 1.5)};
    shop.endsUntilFound('loud', 10, times);
    const restored = new WorkflowDb();
    const {db} = shop.log;
    expect(db.interference.pairs.size).to.equal(1);
    restored.restore(JSON.parse(JSON.stringify(db.toImage())));
    const apply = db.apply.bind(db);
    db.apply = (index, command) => {
      restored.apply(index, command);
      return apply(index, command);
    };
    shop.endsUntilFound('loud', 30, times);
    expect(shop.ratioOf('loud')).to.be.above(1.15);
    expect(JSON.stringify(restored.toImage())).to.equal(
      JSON.stringify(db.toImage()),
    );
    expect(JSON.stringify(restored.interference.toImage())).to.equal(
      JSON.stringify(db.interference.toImage()),
    );
  });
  it('the oldest of too many pairs are dropped', () => {
    const {pairs} = new WorkflowDb().interference;
    for (let i = 0; i <= MAX_PAIRS; i++)
      pairs.note({
        victim: VICTIM,
        neighbour: `@n${i}` as TaskKind,
        worker: 'w' as never,
        log: 0.5,
        gain: 1,
        at: 0,
      });
    expect(pairs.size).to.equal(MAX_PAIRS);
    expect(pairs.toImage()[0]?.[1]).to.equal('@n1');
  });
});
