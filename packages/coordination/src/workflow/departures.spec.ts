import bunyan from 'bunyan';
import {expect} from 'chai';
import {Subject} from 'rxjs';
import {
  CellError,
  type RunEnd,
  type WorkerId,
  type WorkflowCommand,
} from '@primrosewick/state';
import {
  TestLog,
  testSpec,
  testStep,
  testTask,
} from '@primrosewick/state/fixtures';
import {systemClock} from '@primrosewick/transport';
import {Departures} from './departures.js';

const logger = bunyan.createLogger({name: 'spec', level: 'fatal' as never});
const WORKER = 'w1' as WorkerId;
const LIFE = {worker: WORKER, bornAt: 10};
const TASK = testTask('a', 0, 0);
const DONE: RunEnd = {
  sequence: 1,
  task: TASK,
  run: 1,
  outcome: 'done',
  checkpoint: '',
};

/** What a leader does with goodbyes of a worker that runs a task. */
const makeDepartures = () => {
  const log = new TestLog();
  log.addWorker('w1', {bornAt: 10, sequence: 5});
  log.submit('a', testSpec([testStep()]));
  log.start('w1', TASK, 1, 10);
  const applied = new Subject<void>();
  const proposed: string[] = [];
  const apply = (command: WorkflowCommand) => {
    proposed.push(command.kind);
    const result = log.apply(command);
    applied.next();
    return result;
  };
  const departures = new Departures({
    db: () => log.db,
    clock: systemClock,
    propose: async command => apply(command),
    applied,
    logger,
  });
  const leave = async (bornAt: number | null, waitMs = 100) => {
    const deadline = systemClock.now() + waitMs;
    try {
      const reply = await departures.remove({worker: WORKER, bornAt}, deadline);
      return reply.isKnown ? 'known' : 'unknown';
    } catch (err) {
      return err instanceof CellError ? err.code : String(err);
    }
  };
  const endRun = () =>
    apply({kind: 'end_runs', life: LIFE, ends: [DONE], at: 1});
  const report = () => log.db.workers.get(WORKER)?.report;
  const runCount = () => log.db.findTask(TASK)?.active.length ?? 0;
  return {log, proposed, leave, endRun, report, runCount};
};

describe('workers that leave', () => {
  // Guards against TWICE: a worker said goodbye, and its runs were started elsewhere
  // before it had ended.
  it('a goodbye ends no run, and is acknowledged once all are over', async () => {
    const {leave, report, runCount, endRun} = makeDepartures();
    expect(await leave(10)).to.equal('worker_unsure');
    expect([report()?.isLeaving, report()?.isDraining]).to.eql([true, true]);
    expect(runCount()).to.equal(1);
    const goodbye = leave(10, 5000);
    endRun();
    expect(await goodbye).to.equal('known');
    expect(report()).to.equal(undefined);
  });
  it('a repeated goodbye is recorded once, and acknowledged after the end', async () => {
    const {leave, proposed, endRun, log} = makeDepartures();
    await leave(10);
    await leave(10);
    expect(proposed).to.eql(['put_worker']);
    endRun();
    expect(await leave(10)).to.equal('known');
    expect(await leave(10)).to.equal('unknown');
    expect(log.db.departed.has(LIFE)).to.equal(true);
  });
  it('a worker that leaves before it is registered stays gone', async () => {
    const {leave, log, report} = makeDepartures();
    expect(await leave(20)).to.equal('unknown');
    expect(await leave(20)).to.equal('unknown');
    log.addWorker('w1', {bornAt: 20});
    expect(report()?.bornAt).to.equal(10);
    expect(log.db.departed.has({worker: WORKER, bornAt: 20})).to.equal(true);
  });
  // Guards against TWICE: any process could remove any worker.
  it('a goodbye without a start is believed of a worker that drains', async () => {
    const {leave, log, report, runCount, endRun} = makeDepartures();
    log.addWorker('w1', {bornAt: 10, sequence: 6, isDraining: true});
    expect(await leave(null)).to.equal('worker_unsure');
    expect([report()?.isLeaving, runCount()]).to.eql([true, 1]);
    endRun();
    expect(await leave(null)).to.equal('known');
    expect(report()).to.equal(undefined);
  });
  it('a goodbye without a start leaves a worker that does not drain as it was', async () => {
    const {leave, report, runCount} = makeDepartures();
    expect(await leave(null)).to.equal('invalid_input');
    expect(await leave(20)).to.equal('unknown');
    expect([report()?.isLeaving, runCount()]).to.eql([undefined, 1]);
  });
});
