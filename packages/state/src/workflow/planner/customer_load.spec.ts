import {expect} from 'chai';
import {testQueue} from '../../bundle/fixtures.js';
import {TestLog, testCustomer, testSpec, testStep} from '../fixtures.js';
import type {RunEnd, TaskRef} from '../types.js';
import {plan} from './core.js';
import {inputOf, viewsOf} from './fixtures.js';

const CUSTOMERS = ['a', 'b', 'c', 'd', 'big'];
/** Ten workers of four cores; 40 tasks of one core run at a time. */
const WORKER_COUNT = 10;
const TICK_MS = 100;
const RUN_MS = 1000;
/** One workflow of one task every 200 ms from each customer. */
const USUAL_TICKS = 2;
const BURST_FACTOR = 7;
const BURST_FROM_MS = 2000;
const BURST_UNTIL_MS = 8000;
const END_MS = 25_000;

interface Run {
  readonly task: TaskRef;
  readonly worker: string;
  readonly endsAt: number;
}

/** Number of workflows that a customer submits in one tick. */
const submissionsAt = (customer: string, tick: number): number => {
  const now = tick * TICK_MS;
  const isBurst =
    customer === 'big' && now >= BURST_FROM_MS && now < BURST_UNTIL_MS;
  const factor = isBurst ? BURST_FACTOR : 1;
  return (
    Math.floor(((tick + 1) * factor) / USUAL_TICKS) -
    Math.floor((tick * factor) / USUAL_TICKS)
  );
};

const logOf = (hasCustomers: boolean): TestLog => {
  const customers = CUSTOMERS.map(name => testCustomer(name));
  const log = new TestLog({
    queues: [testQueue({objectiveMs: 1000})],
    ...(hasCustomers && {customers}),
  });
  for (let i = 0; i < WORKER_COUNT; i++) log.addWorker(`w${i}`);
  return log;
};

/** Plays the load over virtual time; the longest wait of each customer, in ms. */
const worstWaits = (hasCustomers: boolean): Record<string, number> => {
  const log = logOf(hasCustomers);
  const worst: Record<string, number> = {};
  const submittedAt = new Map<string, number>();
  let running: Run[] = [];
  for (let tick = 0; tick * TICK_MS < END_MS; tick++) {
    const now = tick * TICK_MS;
    const isOver = ({endsAt}: Run) => endsAt <= now;
    for (const {task, worker} of running.filter(isOver))
      log.end(worker, task, 'done' satisfies RunEnd['outcome']);
    running = running.filter(run => !isOver(run));
    for (const customer of CUSTOMERS)
      for (let i = 0; i < submissionsAt(customer, tick); i++) {
        const id = `${customer}-${tick}-${i}`;
        submittedAt.set(id, now);
        log.apply({
          kind: 'submit',
          id: id as never,
          queue: 'queue' as never,
          spec: testSpec([testStep({estimateMs: RUN_MS})]),
          at: now,
          ...(hasCustomers && {customer: customer as never}),
        });
      }
    const {starts} = plan(
      inputOf(log, {wall: now, now, workers: viewsOf(log)}),
    );
    for (const {task, worker} of starts) {
      const [customer] = task.workflow.split('-') as [string];
      const waitedMs = now - submittedAt.get(task.workflow)!;
      worst[customer] = Math.max(worst[customer] ?? 0, waitedMs);
      submittedAt.delete(task.workflow);
      log.start(worker, task);
      running.push({task, worker, endsAt: now + RUN_MS});
    }
  }
  expect(submittedAt.size).to.equal(0);
  return worst;
};

describe('load of one customer', () => {
  // Guards against a burst of one customer that delays all others, and against
  // work of that customer that waits for good.
  it('seven times the usual rate of one customer does not delay the others', () => {
    const {big, ...others} = worstWaits(true);
    expect(others).to.eql({a: 0, b: 0, c: 0, d: 0});
    expect(big).to.be.within(2000, 5500);
    // The same load without customers delays everybody.
    expect(worstWaits(false)).to.include({a: 2000, d: 2000});
  });
});
