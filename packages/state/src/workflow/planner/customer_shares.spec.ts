import {expect} from 'chai';
import fc from 'fast-check';
import {testQueue} from '../../bundle/fixtures.js';
import type {Customer} from '../../bundle/types.js';
import {
  TestLog,
  testCustomer,
  testSpec,
  testStep,
  testTask,
} from '../fixtures.js';
import type {WorkerId} from '../../ids/types.js';
import type {StepSpec, TaskKey} from '../types.js';
import {plan} from './core.js';
import {inputOf} from './fixtures.js';
import {TurnHeap} from './turn_heap.js';
import type {PlanInput} from './types.js';

const WALL = 1200;

/** Two workers of four cores; customers of the given weights. */
const logOf = (customers: readonly Customer[]): TestLog => {
  const log = new TestLog({
    queues: [
      testQueue({objectiveMs: 5000}),
      testQueue({name: 'low', prefix: '/low/', priority: 2}),
      testQueue({name: 'high', prefix: '/high/', priority: 0}),
    ],
    customers,
  });
  for (let i = 0; i < 2; i++) log.addWorker(`w${i}`);
  return log;
};

interface Submission {
  readonly customer?: string;
  readonly step?: Partial<StepSpec>;
  readonly queue?: string;
  readonly at?: number;
  readonly isBeyondRate?: boolean;
}

const submit = (
  log: TestLog,
  id: string,
  {customer, step, queue = 'queue', at = 1000, isBeyondRate}: Submission,
): void =>
  void log.apply({
    kind: 'submit',
    id: id as never,
    queue: queue as never,
    spec: testSpec([testStep(step)]),
    at,
    ...(customer !== undefined && {customer: customer as never}),
    ...(isBeyondRate && {isBeyondRate}),
  });

const planOf = (log: TestLog, part: Partial<PlanInput> = {}) =>
  plan(inputOf(log, {wall: WALL, ...part}));

/** Number of started tasks by the first letter of their workflow. */
const startsOf = (log: TestLog, part: Partial<PlanInput> = {}) => {
  const counts: Record<string, number> = {};
  for (const {task} of planOf(log, part).starts)
    counts[task.workflow[0]!] = (counts[task.workflow[0]!] ?? 0) + 1;
  return counts;
};

const submitMany = (
  log: TestLog,
  count: number,
  submission: Submission & {readonly customer: string},
): void => {
  for (let i = 0; i < count; i++)
    submit(log, `${submission.customer}${i}`, submission);
};

describe('shares of customers', () => {
  it('customers take turns by their weights, whoever came first', () => {
    const log = logOf([testCustomer('a', {weight: 3}), testCustomer('b')]);
    submitMany(log, 30, {customer: 'a', at: 900});
    submitMany(log, 30, {customer: 'b', at: 1000});
    expect(startsOf(log)).to.eql({a: 6, b: 2});
  });
  it('the order is that without customers where nothing is scarce', () => {
    const log = logOf([testCustomer('a', {weight: 9}), testCustomer('b')]);
    submitMany(log, 3, {customer: 'b', at: 900});
    submitMany(log, 3, {customer: 'a', at: 1000});
    const order = planOf(log).starts.map(({task}) => task.workflow[0]);
    expect(order.join('')).to.equal('bbbaaa');
  });
  it('what one customer leaves unused, the others use', () => {
    const log = logOf([testCustomer('a'), testCustomer('b', {weight: 9})]);
    submitMany(log, 30, {customer: 'a'});
    submitMany(log, 1, {customer: 'b'});
    expect(startsOf(log)).to.eql({a: 7, b: 1});
  });
  it('what runs, and starts that are not recorded, count toward the share', () => {
    const log = logOf([testCustomer('a'), testCustomer('b')]);
    submit(log, 'a', {customer: 'a', step: {taskCount: 4}});
    for (let i = 0; i < 2; i++) log.start('w0', testTask('a', 0, i));
    submitMany(log, 9, {customer: 'b'});
    submitMany(log, 9, {customer: 'a'});
    expect(startsOf(log)).to.eql({a: 2, b: 4});
    const mayRun = [2, 3].map(
      i => [`a.0.0.${i}`, 'w1'] as never as readonly [TaskKey, WorkerId],
    );
    const pending = new Map(mayRun);
    expect(startsOf(log, {mayRun, pending})).to.eql({a: 1, b: 5});
  });
  it('memory decides where it is what a customer holds most of', () => {
    const log = logOf([testCustomer('a'), testCustomer('b')]);
    const room = {cpuMillis: 100, memMb: 2000, gpus: 0};
    submitMany(log, 9, {customer: 'a', step: {room}, at: 900});
    submitMany(log, 9, {customer: 'b'});
    const order = planOf(log).starts.map(({task}) => task.workflow[0]);
    expect(order.slice(0, 4).join('')).to.equal('abba');
  });
  it('work beyond the rate comes after all other work of its priority', () => {
    const log = logOf([testCustomer('a', {weight: 9}), testCustomer('b')]);
    submitMany(log, 9, {customer: 'a', isBeyondRate: true, at: 900});
    submitMany(log, 6, {customer: 'b'});
    expect(startsOf(log)).to.eql({a: 2, b: 6});
  });
  it('a priority goes before the shares, and before what is beyond the rate', () => {
    const log = logOf([testCustomer('a'), testCustomer('b')]);
    submitMany(log, 9, {customer: 'a', queue: 'high', isBeyondRate: true});
    submitMany(log, 9, {customer: 'b', queue: 'low'});
    // Half of the pool is guaranteed to the queues in equal parts.
    expect(startsOf(log)).to.eql({a: 6, b: 2});
  });
  it('the priority of a customer decides between equal shares', () => {
    const log = logOf([testCustomer('a', {priority: 2}), testCustomer('b')]);
    const step = {taskCount: 8, isGang: true};
    submit(log, 'a', {customer: 'a', step, at: 900});
    submit(log, 'b', {customer: 'b', step});
    expect(startsOf(log)).to.eql({b: 8});
  });
  // Guards against a starved step, and against a pool that goes to the customer
  // with the largest backlog as all of that is overdue.
  it('an overdue step comes first while its customer is below its share', () => {
    const firstWith = (running: number) => {
      const log = logOf(['a', 'b', 'c'].map(name => testCustomer(name)));
      submit(log, 'a', {customer: 'a', step: {taskCount: running}});
      submit(log, 'c', {customer: 'c', step: {taskCount: 7 - running}});
      for (const [id, count] of [
        ['a', running],
        ['c', 7 - running],
      ] as const)
        for (let i = 0; i < count; i++)
          log.start(i < 4 ? 'w0' : 'w1', testTask(id, 0, i));
      submitMany(log, 2, {customer: 'b'});
      submit(log, 'a0', {customer: 'a', at: WALL - 20_000, isBeyondRate: true});
      return planOf(log).starts[0]?.task.workflow;
    };
    expect([firstWith(2), firstWith(3)]).to.eql(['a0', 'b0']);
  });
  it('work without a customer takes its turns', () => {
    const log = logOf([testCustomer('a')]);
    submitMany(log, 9, {customer: 'a'});
    for (let i = 0; i < 9; i++) submit(log, `n${i}`, {at: 1100});
    expect(startsOf(log)).to.eql({a: 4, n: 4});
  });
  it('preemption takes from the customer furthest above its share', () => {
    const victimsOf = (starts: ReadonlyArray<readonly [string, string]>) => {
      const log = logOf([testCustomer('a'), testCustomer('b', {weight: 9})]);
      const room = {cpuMillis: 2000, memMb: 100, gpus: 0};
      const step = {taskCount: 2, isCheckpointable: true, room};
      submit(log, 'b', {customer: 'b', step, queue: 'low'});
      submit(log, 'a', {customer: 'a', step, queue: 'low'});
      starts.forEach(([id, worker], i) =>
        log.start(worker, testTask(id, 0, i >> 1)),
      );
      submit(log, 'x', {customer: 'b', step: {room}, queue: 'high'});
      return planOf(log).stops.map(({task}) => task.workflow);
    };
    const mixed = ['b w0', 'a w0', 'b w1', 'a w1'];
    const apart = ['b w0', 'a w1', 'b w0', 'a w1'];
    for (const starts of [mixed, apart])
      expect(
        victimsOf(starts.map(text => text.split(' ') as [string, string])),
      ).to.eql(['a']);
  });
  it('the fit is judged by memory where that is scarcer, with customers only', () => {
    const workersOf = (customers: Customer[]) => {
      const log = logOf(customers);
      const room = {cpuMillis: 100, memMb: 3000, gpus: 0};
      const other = {cpuMillis: 2000, memMb: 100, gpus: 0};
      submit(log, 'm', {step: {room}});
      submit(log, 'c', {step: {room: other}});
      log.start('w0', testTask('m', 0, 0));
      log.start('w1', testTask('c', 0, 0));
      submit(log, 'x', {step: {room: {cpuMillis: 500, memMb: 900, gpus: 0}}});
      return planOf(log).starts.map(({worker}) => worker);
    };
    expect(workersOf([testCustomer('a')])).to.eql(['w0']);
    expect(workersOf([])).to.eql(['w1']);
  });
  it('a heap returns its items in order', () => {
    fc.assert(
      fc.property(fc.array(fc.integer()), items => {
        const heap = new TurnHeap<number>((a, b) => a < b);
        for (const item of items) heap.push(item);
        const popped = items.map(() => heap.pop()!);
        expect(popped).to.eql([...items].sort((a, b) => a - b));
        expect(heap.pop()).to.equal(undefined);
      }),
      {seed: 8102, numRuns: 100},
    );
  });
});
