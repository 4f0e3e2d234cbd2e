import {expect} from 'chai';
import {testQueue} from '../../bundle/fixtures.js';
import type {AdviceTiming} from '../../bundle/types.js';
import {TestLog, testSpec, testStep, testTask} from '../fixtures.js';
import {stepKey} from '../refs.js';
import type {StepKey} from '../types.js';
import {plan} from './core.js';
import {EARLY, inputOf} from './fixtures.js';
import type {PlanInput, PlannedStart, StepAdvice} from './types.js';

const GANG_TIMING: AdviceTiming = {
  baseMs: 430,
  perWorkerMs: 6.2,
  validMs: 2000,
};
const SMALL_TIMING: AdviceTiming = {
  baseMs: 80,
  perWorkerMs: 1.1,
  validMs: 2000,
};
const CALLER_COUNT = 43;
const WORKER_COUNT = 10;

const WORKERS = Array.from({length: WORKER_COUNT}, (_, i) => `w${i}`);

/** Advice that allows all workers, with tickets until a time. */
const adviceUntil = (validUntil: number): StepAdvice => {
  const all = new Set(WORKERS as never[]);
  const ticket = {bornAt: 1, text: 't', validUntil};
  return {
    asked: all,
    allowed: all,
    tickets: new Map([...all].map(worker => [worker, ticket])),
    isAsking: false,
  };
};

/**
 * Ten workers, and a queue for gangs with a more urgent priority than one for
 * small tasks.
 */
const sharedLog = (): TestLog => {
  const log = new TestLog({
    queues: [
      testQueue({
        name: 'wide',
        prefix: '/wide/',
        priority: 1,
        advice: GANG_TIMING,
      }),
      testQueue({
        name: 'small',
        prefix: '/small/',
        priority: 2,
        advice: SMALL_TIMING,
      }),
    ],
  });
  for (const worker of WORKERS) log.addWorker(worker);
  return log;
};

const submitGangs = (log: TestLog, count: number, taskCount: number): void => {
  for (let i = 0; i < count; i++)
    log.submit(
      `gang${i}`,
      testSpec([testStep({taskCount, isGang: true})]),
      'wide',
    );
};

/**
 * Plans a pass in which all gangs hold tickets until a time and other steps
 * have no advice.
 */
const planPass = (
  log: TestLog,
  validUntil: number,
  part: Partial<PlanInput> = {},
) => {
  const advice = adviceUntil(validUntil);
  return plan(
    inputOf(log, {
      callerCount: CALLER_COUNT,
      adviceOf: (key: StepKey) => (key.startsWith('gang') ? advice : undefined),
      ...part,
    }),
  );
};

const ROUND_MS = 500;
const RUN_ROUNDS = 2;

/**
 * Simulates rounds in which each started task runs for RUN_ROUNDS; counts
 * starts by queue.
 */
const simulateRounds = (log: TestLog, rounds: number): Map<string, number> => {
  const advice = new Map<StepKey, StepAdvice>();
  const starts = new Map<string, number>();
  const ending: PlannedStart[][] = [];
  let reserved: PlanInput['reserved'] = new Map();
  for (let round = 0; round < rounds; round++) {
    const now = round * ROUND_MS;
    const ended = ending.shift() ?? [];
    for (const {task, run, worker} of ended)
      log.end(worker, task, 'done', {run});
    const decided = plan(
      inputOf(log, {
        now,
        wall: 1000 + now,
        callerCount: CALLER_COUNT,
        reserved,
        adviceOf: key => advice.get(key),
      }),
    );
    reserved = decided.reserved;
    for (const {step} of decided.advice)
      advice.set(stepKey(step), adviceUntil(now + SMALL_TIMING.validMs));
    for (const {task, run, worker} of decided.starts) {
      log.start(worker, task, run);
      const {queue} = log.db.workflows.get(task.workflow)!;
      starts.set(queue, (starts.get(queue) ?? 0) + 1);
    }
    while (ending.length < RUN_ROUNDS) ending.push([]);
    ending[RUN_ROUNDS - 1]!.push(...decided.starts);
  }
  return starts;
};

const requestedWorkflows = ({advice}: ReturnType<typeof plan>): string[] =>
  advice.map(({step}) => step.workflow);

describe('shares', () => {
  it('gangs that wait for resources do not block advice requests of small steps', () => {
    const log = sharedLog();
    submitGangs(log, 40, 500);
    log.submit('few', testSpec([testStep({taskCount: 2})]), 'small');
    for (const validUntil of [2000, 900, 0])
      expect(requestedWorkflows(planPass(log, validUntil))).to.include('few');
  });
  it('gangs that wait for runs of others do not block advice requests of small steps', () => {
    const log = sharedLog();
    for (const [i, worker] of WORKERS.entries()) {
      log.submit(`old${i}`, testSpec([testStep({taskCount: 4})]), 'small');
      for (let index = 0; index < 4; index++)
        log.start(worker, testTask(`old${i}`, 0, index));
    }
    submitGangs(log, 40, 8);
    log.submit('few', testSpec([testStep({taskCount: 2})]), 'small');
    for (const validUntil of [2000, 900, 0])
      expect(requestedWorkflows(planPass(log, validUntil))).to.include('few');
  });
  it('a gang renews its tickets once its resources are nearly complete', () => {
    const log = sharedLog();
    // The queue of the gang holds more than its share.
    log.submit('old', testSpec([testStep({taskCount: 40})]), 'wide');
    for (const [i, worker] of WORKERS.entries())
      for (let at = 0; at < 4; at++)
        log.start(worker, testTask('old', 0, 4 * i + at));
    submitGangs(log, 1, 20);
    const endsSoon: PlanInput['endsSoon'] = worker =>
      new Set([...log.db.workers.get(worker)!.active.keys()].slice(0, 2));
    expect(requestedWorkflows(planPass(log, 0))).to.eql([]);
    expect(requestedWorkflows(planPass(log, 0, {endsSoon}))).to.eql(['gang0']);
  });
  it('gangs and a stream of small steps each get their guaranteed share', () => {
    const log = sharedLog();
    submitGangs(log, 40, 20);
    for (let i = 0; i < 150; i++)
      log.submit(`few${i}`, testSpec([testStep({taskCount: 2})]), 'small');
    const rounds = 24;
    const starts = simulateRounds(log, rounds);
    // A quarter of the resources is guaranteed to each queue.
    const share = (0.25 * 4 * WORKER_COUNT * rounds) / RUN_ROUNDS;
    expect(starts.get('wide')).to.be.at.least(share);
    expect(starts.get('small')).to.be.at.least(0.8 * share);
  });
  it('a gang beyond its queue share does not preempt runs within theirs', () => {
    const log = sharedLog();
    const saving = testStep({taskCount: 8, isCheckpointable: true});
    log.submit('few', testSpec([saving]), 'small');
    log.submit('old', testSpec([testStep({taskCount: 32})]), 'wide');
    for (let i = 0; i < 8; i++)
      log.start(WORKERS[i % 2]!, testTask('few', 0, i));
    for (let i = 0; i < 32; i++)
      log.start(WORKERS[2 + (i % 8)]!, testTask('old', 0, i));
    submitGangs(log, 1, 8);
    expect(planPass(log, 9000, EARLY).stops).to.have.length(0);
  });
});
