import {expect} from 'chai';
import {testQueue} from '../../bundle/fixtures.js';
import {TestLog, testSpec, testStep} from '../fixtures.js';
import {inputOf} from '../planner/fixtures.js';
import {plan} from '../planner/core.js';
import {seededRandom} from '../../utils/random.js';
import type {TaskRef} from '../types.js';
import {decideAdmission} from './core.js';
import {DEFAULT_RATE_TERMS, rateLimitOf} from './customer_rate.js';
import {customerBundle, submitOf} from './fixtures.js';

const DAY_MS = 40_000;
const TICK_MS = 50;
const BURSTS = [5000, 22_000];
const BURST_MS = 6000;
const OBJECTIVE_MS = 300 + 1.5 * 1000;
/** Jobs per second; each runs three cores for a second. */
const RATES = {loud: 30, b: 30, c: 20, d: 20};
const SPEC = testSpec([testStep({taskCount: 3})]);
const LIMIT = rateLimitOf({weight: RATES.loud}, DEFAULT_RATE_TERMS);

interface Outcome {
  /** Fraction of the jobs of the other customers that are in time. */
  readonly inTime: number;
  readonly refused: ReadonlyArray<{readonly customer: string}>;
  readonly beyondCount: number;
}

/** Plays a day on workers that the usual load fills to three quarters. */
const play = (bursts: readonly number[]): Outcome => {
  const queue = testQueue({priority: 0, objectiveMs: 300, stretch: 1.5});
  const log = new TestLog(customerBundle(RATES, [queue]));
  for (let i = 0; i < 100; i++) log.addWorker(`w${i}`);
  const random = seededRandom(71);
  const running: Array<{task: TaskRef; worker: string; until: number}> = [];
  const sent: Array<{id: string; customer: string; at: number}> = [];
  const refused: Array<{customer: string}> = [];
  const doneAt = new Map<string, number>();
  const submit = (customer: string, wall: number): void => {
    const id = `${customer}-${sent.length}`;
    sent.push({id, customer, at: wall});
    const terms = {id: id as never, customer: customer as never, wall};
    const roomAt = log.db.rates.roomAt(terms.customer, LIMIT, wall);
    const decision = decideAdmission(log.db, queue, SPEC, terms);
    if (decision.kind === 'admit') {
      const isBeyondRate = decision.isBeyondRate === true;
      log.apply(submitOf(id, {spec: SPEC, customer, at: wall, isBeyondRate}));
    } else {
      refused.push({customer});
      expect(decision.kind).to.equal('over_rate');
      expect(roomAt).to.be.greaterThan(wall);
    }
  };
  for (let wall = 10_000; wall < 10_000 + DAY_MS; wall += TICK_MS) {
    for (const run of running.splice(0)) {
      if (run.until > wall) running.push(run);
      else log.end(run.worker, run.task, 'done');
      for (const {id} of log.db.ended.byLastRecord) doneAt.set(id, wall);
    }
    for (const [customer, rate] of Object.entries(RATES)) {
      const isBurst =
        customer === 'loud' &&
        bursts.some(at => wall >= 10_000 + at && wall < 10_000 + at + BURST_MS);
      const perTick = (rate * TICK_MS * (isBurst ? 7 : 1)) / 1000;
      const draws = random.nextInt(0, 999) / 1000;
      const count = Math.floor(perTick) + Number(draws < perTick % 1);
      for (let i = 0; i < count; i++) submit(customer, wall);
    }
    const {starts} = plan(inputOf(log, {wall, now: wall}));
    for (const {task, worker, run} of starts) {
      log.start(worker, task, run);
      running.push({task, worker, until: wall + 1000});
    }
  }
  const others = sent.filter(
    ({customer, at}) => customer !== 'loud' && at < 5000 + DAY_MS,
  );
  const inTime = others.filter(
    ({id, at}) => (doneAt.get(id) ?? Infinity) <= at + OBJECTIVE_MS,
  );
  return {
    inTime: inTime.length / others.length,
    refused,
    beyondCount: [...log.db.workflows.values()].filter(w => w.isBeyondRate)
      .length,
  };
};

describe('a customer that sends seven times its usual', () => {
  it('is refused only beyond its rate, and the others are as in time as without', () => {
    const calm = play([]);
    expect(calm.refused).to.eql([]);
    const burst = play(BURSTS);
    expect(burst.refused.length).to.be.greaterThan(50);
    expect(burst.refused.every(({customer}) => customer === 'loud')).to.equal(
      true,
    );
    expect(burst.inTime).to.be.at.least(0.97 * calm.inTime);
    expect(burst.beyondCount).to.be.greaterThan(0);
  }).timeout(30_000);
});
