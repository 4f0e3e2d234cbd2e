import {expect} from 'chai';
import type {CellError, Queue, WorkflowId} from '@primrosewick/state';
import {
  TestLog,
  customerBundle,
  submitOf,
  testSpec,
  testStep,
} from '@primrosewick/state/fixtures';
import {systemClock} from '@primrosewick/transport';
import {SubmissionAdmission} from './submission_admission.js';

const WALL = 2000;

/** Admission at a leader whose one customer has sent 30 submissions. */
const makeAdmission = (backlog: number) => {
  const log = new TestLog(customerBundle({loud: 1}));
  log.addWorker('w1');
  for (let i = 0; i < 30; i++) {
    log.apply(submitOf(`u${i}`, {customer: 'loud', at: WALL}));
    log.apply({kind: 'cancel', id: `u${i}` as WorkflowId, at: WALL});
  }
  const spec = testSpec([testStep({taskCount: backlog})]);
  log.apply(submitOf('full', {spec, at: WALL}));
  const lines: unknown[] = [];
  const counted: string[] = [];
  const admission = new SubmissionAdmission({
    db: log.db,
    clock: {...systemClock, now: () => 0, wall: () => WALL},
    logger: {info: (line: unknown) => lines.push(line)} as never,
    load: {decide: () => ({kind: 'take'})},
    onRefused: (_, why) => counted.push(why),
  });
  const check = (id: string) =>
    admission.check({
      id: id as WorkflowId,
      queue: log.db.queues.get('queue' as never) as Queue,
      spec: testSpec([testStep()]),
      customer: 'loud' as never,
      inFlight: 0,
      deadline: Number.POSITIVE_INFINITY,
    });
  return {check, lines, counted};
};

describe('a submission beyond the rate of its customer', () => {
  it('is marked while there is room', () => {
    const {check, counted} = makeAdmission(1);
    expect(check('new')).to.equal(true);
    expect(counted).to.eql([]);
  });
  it('is refused with the time of room, logged and counted, without room', () => {
    const {check, lines, counted} = makeAdmission(40);
    let err: CellError | undefined;
    try {
      check('new');
    } catch (thrown) {
      err = thrown as CellError;
    }
    expect(err).to.include({
      code: 'over_rate',
      outcome: 'not_run',
      status: 429,
    });
    expect(err?.retryAfterMs).to.be.within(5000, 10_000);
    expect(lines[0]).to.include({
      decision: 'reject',
      why: 'over_rate',
      customer: 'loud',
    });
    expect(counted).to.eql(['over_rate']);
  });
});
