import bunyan from 'bunyan';
import {expect} from 'chai';
import type {WorkflowCommand} from '@primrosewick/state';
import {
  TestLog,
  testSpec,
  testStep,
  testTask,
} from '@primrosewick/state/fixtures';
import {pause, systemClock} from '@primrosewick/transport';
import type {OrderPort} from './ports.js';
import {WorkerChannel} from './worker_channel.js';

const logger = bunyan.createLogger({name: 'spec', level: 'fatal' as never});
const TASK = testTask('a', 0, 0);

/** A channel to the worker `w1` of a log. */
const makeChannelOf = (
  log: TestLog,
  hold: OrderPort['hold'],
  record: (command: WorkflowCommand) => boolean,
): WorkerChannel => {
  const life = log.db.workers.get('w1' as never)!.report;
  return new WorkerChannel({
    life: {worker: life.worker, bornAt: life.bornAt},
    db: log.db,
    port: {hold} as OrderPort,
    clock: systemClock,
    logger,
    term: 1,
    leaseMs: 1000,
    maxGrantedMs: 1000,
    previousLeaderUntil: 0,
    mayOrder: () => true,
    record: async command => record(command),
    onChange: () => undefined,
    onStarted: () => undefined,
    onStartFailed: () => undefined,
  });
};

/** A channel to a worker that lists its only run as done. */
const makeChannel = (record: (command: WorkflowCommand) => boolean) => {
  const log = new TestLog();
  log.addWorker('w1');
  log.submit('a', testSpec([testStep()]));
  log.start('w1', TASK);
  const end = {
    sequence: 1,
    task: TASK,
    run: 1,
    outcome: 'done' as const,
    checkpoint: '',
  };
  const hold: OrderPort['hold'] = async () => {
    await pause(systemClock, 10);
    return {
      kind: 'lists',
      clockMs: 1,
      running: [],
      ended: [end],
      mayLackEnds: false,
    };
  };
  return {channel: makeChannelOf(log, hold, record), log};
};

/** A channel to a worker whose runs are all done, and which lists two ends at a time. */
const makeCutChannel = (runCount: number) => {
  const log = new TestLog();
  log.addWorker('w1');
  log.submit('a', testSpec([testStep({taskCount: runCount})]));
  const tasks = Array.from({length: runCount}, (_, i) => testTask('a', 0, i));
  for (const task of tasks) log.start('w1', task);
  const hold: OrderPort['hold'] = async (_target, {endsRecorded}) => {
    await pause(systemClock, 5);
    const ended = tasks
      .map((task, i) => ({
        sequence: i + 1,
        task,
        run: 1,
        outcome: 'done' as const,
        checkpoint: '',
      }))
      .filter(({sequence}) => sequence > endsRecorded)
      .slice(0, 2);
    const mayLackEnds = ended.length === 2;
    return {kind: 'lists', clockMs: 1, running: [], ended, mayLackEnds};
  };
  return {log, hold};
};

/** Waits until a condition is met, for two seconds at most. */
const until = async (isMet: () => boolean): Promise<void> => {
  for (let i = 0; i < 200 && !isMet(); i++) await pause(systemClock, 10);
};

describe('ends that a worker lists', () => {
  // Guards against TWICE: the runs whose ends were beyond the end of the first
  // list were voided as never started, and their tasks ran again.
  it('a run is not voided while its end may be beyond the end of the list', async () => {
    const {log, hold} = makeCutChannel(7);
    const voided: WorkflowCommand[] = [];
    const channel = makeChannelOf(log, hold, command => {
      if (command.kind === 'void_runs') voided.push(command);
      log.apply(command);
      return true;
    });
    const phase = () => log.db.workflows.get('a' as never)?.phase;
    channel.open();
    await until(() => phase() === 'done');
    channel.close();
    expect(voided).to.eql([]);
    expect(phase()).to.equal('done');
  });
  it('a run that is in no list is voided once a list has all ends', async () => {
    const {log, hold} = makeCutChannel(3);
    log.submit('b', testSpec([testStep()]));
    log.start('w1', testTask('b', 0, 0));
    const recorded: string[] = [];
    const channel = makeChannelOf(log, hold, command => {
      recorded.push(command.kind);
      log.apply(command);
      return true;
    });
    channel.open();
    await until(() => recorded.length === 3);
    channel.close();
    expect(recorded).to.eql(['end_runs', 'end_runs', 'void_runs']);
    expect(log.db.findTask(testTask('b', 0, 0))?.active).to.eql([]);
  });
  it('orders wait for a list with all ends', async () => {
    const {log, hold} = makeCutChannel(3);
    let holds = 0;
    const usableAfter: boolean[] = [];
    const channel = makeChannelOf(
      log,
      async (...args) => {
        usableAfter[holds++] = channel.isUsable;
        return hold(...args);
      },
      command => {
        log.apply(command);
        return true;
      },
    );
    channel.open();
    await until(() => holds >= 3);
    channel.close();
    expect(usableAfter.slice(0, 3)).to.eql([false, false, true]);
  });

  it('a finished run is not voided while its end cannot be recorded', async () => {
    const refused: string[] = [];
    const voided: WorkflowCommand[] = [];
    let isFull = true;
    const {channel, log} = makeChannel(command => {
      if (command.kind === 'end_runs' && isFull) {
        refused.push(command.kind);
        return false;
      }
      if (command.kind === 'void_runs') voided.push(command);
      log.apply(command);
      return true;
    });
    channel.open();
    await pause(systemClock, 300);
    expect(refused).to.not.eql([]);
    expect(voided).to.eql([]);
    isFull = false;
    await pause(systemClock, 300);
    channel.close();
    expect(log.db.workflows.get('a' as never)?.phase).to.equal('done');
  });
});
