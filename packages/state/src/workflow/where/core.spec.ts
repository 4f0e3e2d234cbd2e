import {expect} from 'chai';
import {testQueue} from '../../bundle/fixtures.js';
import {TestLog, testCustomer, testSpec, testStep} from '../fixtures.js';
import {plan} from '../planner/core.js';
import {EARLY, inputOf} from '../planner/fixtures.js';
import type {StepSpec} from '../types.js';
import {explainPlacement} from './core.js';
import {drawQuestion, drawWorld, submitAs} from './fixtures.js';
import type {PlacementAnswer, ReadyStepAnswer} from './types.js';

const WORLD_COUNT = 600;
const ID = '?';

/** Workers and waits by step, as an answer tells them. */
const toldBy = ({steps}: PlacementAnswer): string[] =>
  steps.flatMap(step =>
    step.kind === 'later'
      ? []
      : [
          ...step.starts.map(
            ({worker, taskCount}) => `${step.step} ${worker} ${taskCount}`,
          ),
          ...(step.wait ? [`${step.step} waits ${step.wait.why}`] : []),
        ],
  );

/** Workers and waits by step, as a pass decides them for the submitted job. */
const decidedBy = ({starts, waits}: ReturnType<typeof plan>): string[] => {
  const counts = new Map<string, number>();
  for (const {task, worker} of starts)
    if (task.workflow === ID)
      counts.set(
        `${task.step} ${worker}`,
        (counts.get(`${task.step} ${worker}`) ?? 0) + 1,
      );
  return [
    ...[...counts].map(([key, count]) => `${key} ${count}`),
    ...waits
      .filter(({step}) => step.workflow === ID)

      .map(({step, why}) => `${step.step} waits ${why}`),
  ];
};

const askedIn = (
  log: TestLog,
  step: Partial<StepSpec>,
  {queue = 'queue', customer = ''} = {},
): PlacementAnswer =>
  explainPlacement(inputOf(log, EARLY), {
    queue: log.db.queues.get(queue as never)!,
    spec: testSpec([testStep(step)]),
    ...(customer && {customer: log.db.customers.get(customer as never)!}),
  });

const firstStep = ({steps}: PlacementAnswer): ReadyStepAnswer =>
  steps[0] as ReadyStepAnswer;

const logOf = (workerCount: number): TestLog => {
  const advice = {baseMs: 50, perWorkerMs: 1, validMs: 2000};
  const cap = {cpuMillis: 2000, memMb: 0, gpus: 0};
  const log = new TestLog({
    queues: [
      testQueue({}),
      testQueue({name: 'advised', prefix: '/a/', advice}),
    ],
    customers: [testCustomer('a', {cap}), testCustomer('b')],
  });
  for (let i = 0; i < workerCount; i++) log.addWorker(`w${i}`);
  return log;
};

describe('where a job would go', () => {
  it('an answer is what a pass decides once the job is submitted', () => {
    let agreed = 0;
    let asked = 0;
    let waiting = 0;
    for (let seed = 0; seed < WORLD_COUNT; seed++) {
      const world = drawWorld(seed);
      const question = drawQuestion(world);
      const answer = explainPlacement(world.input(), question);
      if (answer.admission.kind === 'rejected') continue;
      submitAs(world.log, ID, question, answer.admission.isBeyondRate);
      const decided = decidedBy(plan(world.input())).sort();
      asked++;
      if (decided.some(line => line.includes('waits'))) waiting++;
      if (toldBy(answer).sort().join() === decided.join()) agreed++;
    }
    expect(asked).to.be.greaterThan(WORLD_COUNT / 2);
    expect(waiting).to.be.greaterThan(asked / 10);
    expect(asked - waiting).to.be.greaterThan(asked / 10);
    expect(agreed / asked).to.be.at.least(0.99);
  });
  it('an answer leaves the state as it was', () => {
    for (let seed = 0; seed < WORLD_COUNT; seed += 20) {
      const world = drawWorld(seed);
      const {db} = world.log;
      const before = JSON.stringify([db.toImage(), [...db.open.keys()]]);
      const work = JSON.stringify(db.open.workOf('queue' as never));
      explainPlacement(world.input(), drawQuestion(world));
      expect(JSON.stringify([db.toImage(), [...db.open.keys()]])).to.equal(
        before,
      );
      expect(JSON.stringify(db.open.workOf('queue' as never))).to.equal(work);
    }
  });
  it('the first task starts on the best candidate', () => {
    const log = logOf(3);
    submitAs(log, 'old', {
      queue: log.db.queues.get('queue' as never)!,
      spec: testSpec([testStep()]),
    });
    log.start('w1', {
      workflow: 'old' as never,
      occurrence: 0,
      step: 0,
      index: 0,
    });
    const {candidates, starts} = firstStep(askedIn(log, {}));
    expect(candidates[0]?.worker).to.equal('w1');
    expect(starts).to.eql([{worker: 'w1', taskCount: 1}]);
  });
  it('on a full pool, the resource that lacks is named', () => {
    const log = logOf(1);
    submitAs(log, 'old', {
      queue: log.db.queues.get('queue' as never)!,
      spec: testSpec([testStep({room: {cpuMillis: 0, memMb: 3950, gpus: 0}})]),
    });
    log.start('w0', {
      workflow: 'old' as never,
      occurrence: 0,
      step: 0,
      index: 0,
    });
    const {wait, ruledOut} = firstStep(askedIn(log, {}));
    expect(wait?.binding).to.eql({kind: 'room', dimension: 'memMb'});
    expect(ruledOut).to.eql([
      {why: 'room', dimension: 'memMb', count: 1, workers: ['w0']},
    ]);
  });
  it('a job behind others is told so, by its share if that is used up', () => {
    const log = logOf(1);
    for (const customer of ['b', undefined])
      submitAs(log, `old${customer}`, {
        queue: log.db.queues.get('queue' as never)!,
        spec: testSpec([testStep({taskCount: 2, estimateMs: 300})]),
        ...(customer && {customer: log.db.customers.get(customer as never)!}),
      });
    const size = {room: {cpuMillis: 2000, memMb: 100, gpus: 0}};
    expect(firstStep(askedIn(log, size)).wait?.binding).to.eql({kind: 'order'});
    const start = (index: number) =>
      log.start('w0', {
        workflow: 'oldb' as never,
        occurrence: 0,
        step: 0,
        index,
      });
    start(0);
    start(1);
    const ofB = firstStep(askedIn(log, size, {customer: 'b'}));
    expect(ofB.wait?.binding).to.eql({kind: 'share'});
  });
  it('a cap, an adviser, a label and a drained pool are named', () => {
    const log = logOf(1);
    const byCap = firstStep(askedIn(log, {taskCount: 3}, {customer: 'a'}));
    expect(byCap.starts).to.eql([{worker: 'w0', taskCount: 2}]);
    expect(byCap.wait).to.deep.include({why: 'cap', taskCount: 1});
    const byAdvice = firstStep(askedIn(log, {}, {queue: 'advised'}));
    expect(byAdvice.wait?.binding).to.eql({kind: 'advice'});
    expect(byAdvice.ruledOut[0]?.why).to.equal('adviser_not_asked');
    const byLabel = firstStep(askedIn(log, {requiredLabel: 'odd'}));
    expect(byLabel.wait?.binding).to.eql({kind: 'no_worker'});
    expect(byLabel.ruledOut[0]?.why).to.equal('label');
    log.addWorker('w0', {isDraining: true, sequence: 2});
    expect(firstStep(askedIn(log, {})).ruledOut[0]?.why).to.equal('draining');
  });
  it('a job that its cap can never hold is rejected, with the cap', () => {
    const wide = {taskCount: 3, isGang: true};
    const {admission, steps} = askedIn(logOf(1), wide, {customer: 'a'});
    expect(admission).to.include({kind: 'rejected', why: 'cap_exceeded'});
    expect(steps).to.eql([]);
  });
});
