/** Random states, and jobs that are asked about, for specs. */
import {testQueue} from '../../bundle/fixtures.js';
import type {CustomerName} from '../../ids/types.js';
import {seededRandom, type Random} from '../../utils/random.js';
import {TestLog, testCustomer, testSpec, testStep} from '../fixtures.js';
import {plan} from '../planner/core.js';
import {inputOf} from '../planner/fixtures.js';
import type {PlanInput, StepAdvice} from '../planner/types.js';
import type {StepSpec, WorkflowId, WorkflowSpec} from '../types.js';
import type {PlacementQuestion} from './types.js';

const TIMING = {baseMs: 50, perWorkerMs: 1, validMs: 2000};
const QUEUES = ['queue', 'advised', 'low'];
const WALL = 1500;

const drawStep = (random: Random, index: number): StepSpec =>
  testStep({
    taskCount: random.nextInt(1, 6),
    room: {
      cpuMillis: random.nextInt(1, 5) * 500,
      memMb: random.nextInt(1, 6) * 400,
      gpus: 0,
    },
    estimateMs: random.nextInt(1, 30) * 100,
    after: index > 0 && random.nextInt(0, 1) === 1 ? [index - 1] : [],
    isGang: random.nextInt(0, 3) === 0,
    isRackLocal: random.nextInt(0, 3) === 0,
    maxPerWorker: random.nextInt(0, 2),
    isCheckpointable: random.nextInt(0, 2) === 0,
    ...(random.nextInt(0, 4) === 0 && {requiredLabel: 'kind'}),
  });

const drawSpec = (random: Random): WorkflowSpec =>
  testSpec(
    Array.from({length: random.nextInt(1, 3)}, (_, index) =>
      drawStep(random, index),
    ),
  );

/** A state with work that runs and work that waits. */
export interface RandomWorld {
  readonly log: TestLog;
  readonly random: Random;
  /** Inputs of a pass that begins now, with fresh views. */
  readonly input: () => PlanInput;
}

/** Draws a state of up to 8 workers. */
export const drawWorld = (seed: number): RandomWorld => {
  const random = seededRandom(seed);
  const cap = {cpuMillis: random.nextInt(2, 20) * 500, memMb: 0, gpus: 0};
  const log = new TestLog({
    queues: [
      testQueue({}),
      testQueue({name: 'advised', prefix: '/advised/', advice: TIMING}),
      testQueue({name: 'low', prefix: '/low/', priority: 2}),
    ],
    customers: [testCustomer('a', {cap}), testCustomer('b', {weight: 2})],
  });
  for (let i = random.nextInt(2, 8); i > 0; i--)
    log.addWorker(`w${i}`, {
      room: {
        cpuMillis: random.nextInt(2, 8) * 1000,
        memMb: random.nextInt(2, 8) * 1000,
        gpus: 0,
      },
      labels: random.nextInt(0, 1) === 0 ? ['kind'] : [],
      rack: `rack-${random.nextInt(1, 2)}`,
      isDraining: random.nextInt(0, 7) === 0,
    });
  const allowed = [...log.db.workers.keys()].filter(
    () => random.nextInt(0, 3) > 0,
  );
  const isAsked = random.nextInt(0, 1) === 0;
  const advice: StepAdvice = {
    asked: new Set(log.db.workers.keys()),
    allowed: new Set(allowed),
    tickets: new Map(
      allowed.map(worker => [
        worker,
        {bornAt: 1, text: worker, validUntil: 2000},
      ]),
    ),
    isAsking: false,
  };
  const input = () =>
    inputOf(log, {
      wall: WALL,
      adviceOf: () => (isAsked ? advice : undefined),
    });
  for (let i = random.nextInt(0, 8); i > 0; i--) {
    submitAs(log, `old${i}`, drawQuestion({log, random, input}));
    const {starts} = plan(input());
    if (random.nextInt(0, 2) > 0)
      log.apply({kind: 'start_runs', starts, at: WALL});
  }
  return {log, random, input};
};

/** Draws a job of some queue and customer. */
export const drawQuestion = ({log, random}: RandomWorld): PlacementQuestion => {
  const name = QUEUES[random.nextInt(0, QUEUES.length - 1)];
  const payer = ['a', 'b', undefined][random.nextInt(0, 2)];
  const customer = log.db.customers.get(payer as CustomerName);
  return {
    queue: log.db.queues.get(name as never)!,
    spec: drawSpec(random),
    ...(customer && {customer}),
  };
};

/** Submits the job of a question. */
export const submitAs = (
  log: TestLog,
  id: string,
  {queue, spec, customer}: PlacementQuestion,
  isBeyondRate = false,
): void =>
  void log.apply({
    kind: 'submit',
    id: id as WorkflowId,
    queue: queue.name,
    spec,
    at: WALL,
    ...(customer && {customer: customer.name}),
    ...(isBeyondRate && {isBeyondRate: true}),
  });
