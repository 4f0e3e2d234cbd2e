import bunyan from 'bunyan';
import {expect} from 'chai';
import {
  TestLog,
  testSpec,
  testStep,
  testTask,
} from '@primrosewick/state/fixtures';
import {systemClock, type Clock} from '@primrosewick/transport';
import {LoadReport} from './load_report.js';
import {RunLog} from './run_log.js';

/** A report with a manual clock, and its lines by queue. */
const makeReport = (log: TestLog) => {
  const time = {now: 0};
  const lines: Array<Record<string, unknown>> = [];
  const clock: Clock = {
    ...systemClock,
    now: () => time.now,
    wall: () => 1000 + time.now,
  };
  const logger = bunyan.createLogger({
    name: 'spec',
    stream: {
      write: (line: string) => void lines.push(JSON.parse(line)),
    } as never,
  });
  const report = new LoadReport({
    db: log.db,
    clock,
    logger,
    callerUse: () => ({callers: 3, busyCallers: 2, queuedCalls: 1}),
  });
  const linesOf = (queue: string) =>
    lines.filter(line => line['queue'] === queue);
  return {report, logger, linesOf, time};
};

describe('load report', () => {
  it('counts open workflows as waiting, running or idle', () => {
    const log = new TestLog();
    log.addWorker('w1');
    for (const id of ['runs', 'waits', 'idle'])
      log.submit(id, testSpec([testStep()]));
    log.start('w1', testTask('runs', 0, 0));
    const {report, linesOf, time} = makeReport(log);
    const step = testTask('waits', 0, 0);
    const wait = {
      step,
      why: 'advice_turn' as const,
      taskCount: 1,
      candidateCount: 0,
    };
    report.notePass([wait], 0);
    report.notePass([wait], 1500);
    time.now = 2000;
    report.logQueues();
    expect(linesOf('queue')).to.have.length(1);
    expect(linesOf('queue')[0]).to.deep.include({
      change: 'queue_load',
      open: 3,
      oldestOpenMs: 2000,
      idle: 1,
      running: 1,
      cpuMillis: 1000,
      share: 0.25,
      waiting: {advice_turn: {steps: 1, oldestMs: 2000}},
      waitedMs: {advice_turn: 1500},
      callers: 3,
      busyCallers: 2,
    });
  });
  it('a queue that has run out of work is logged once more only', () => {
    const log = new TestLog();
    log.addWorker('w1');
    log.submit('a', testSpec([testStep()]));
    log.start('w1', testTask('a', 0, 0));
    const {report, linesOf} = makeReport(log);
    report.logQueues();
    log.end('w1', testTask('a', 0, 0), 'done');
    report.logQueues();
    report.logQueues();
    expect(linesOf('queue').map(({open}) => open)).to.eql([1, 0]);
  });
  it('totals accumulate from line to line, so that a lost line loses no data', () => {
    const log = new TestLog();
    log.submit('a', testSpec([testStep()]));
    const {report, logger, linesOf} = makeReport(log);
    const task = testTask('a', 0, 0);
    const runs = new RunLog(logger, report.queues);
    const worker = 'w1' as never;
    runs.started({task, run: 1, worker, index: 1, waitMs: 0, free: 0});
    runs.startFailed(task, worker, {kind: 'refused', why: 'no_ticket'});
    report.logQueues();
    runs.startFailed(task, worker, {kind: 'no_answer', detail: ''});
    runs.stopped(worker, {task, run: 1, why: 'preempted'});
    const life = {worker, bornAt: 1};
    const run = {task, run: 1, checkpoint: ''};
    const end = {...run, sequence: 1, outcome: 'stopped' as const};
    report.noteRecord({kind: 'end_runs', life, ends: [end], at: 0});
    report.noteRecord({
      kind: 'void_runs',
      life,
      runs: [run],
      reason: 'lease_lapsed',
    });
    report.noteRecord({kind: 'remove_worker', life, runs: [run]});
    report.logQueues();
    expect(linesOf('queue')[1]).to.deep.include({
      starts: {ordered: 1},
      startFailed: {no_ticket: 1, no_answer: 1},
      stops: {preempted: 1},
      ended: {stopped: 1},
      givenUp: {lease_lapsed: 1, worker_gone: 1},
    });
  });
});
