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
    return {kind: 'lists', clockMs: 1, running: [], ended: [end]};
  };
  const life = log.db.workers.get('w1' as never)!.report;
  const channel = new WorkerChannel({
    life: {worker: life.worker, bornAt: life.bornAt},
    db: log.db,
    port: {hold} as OrderPort,
    clock: systemClock,
    logger,
    term: 1,
    leaseMs: 1000,
    maxLeaseMs: 1000,
    previousLeaderUntil: 0,
    mayOrder: () => true,
    record: async command => record(command),
    onChange: () => undefined,
    onStarted: () => undefined,
    onStartFailed: () => undefined,
  });
  return {channel, log};
};

describe('ends that a worker lists', () => {
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
