import bunyan from 'bunyan';
import {expect} from 'chai';
import type {VmId, WorkflowCommand} from '@primrosewick/state';
import {TestLog, testSpec, testStep} from '@primrosewick/state/fixtures';
import {pause, systemClock} from '@primrosewick/transport';
import type {OrderPort, StartOrder} from './ports.js';
import {WorkflowReplica} from './replica.js';
import {SchedulerTask} from './scheduler_task.js';

const VALID_MS = 700;
const [QUEUE] = new TestLog().db.bundle!.queues;
const logger = bunyan.createLogger({name: 'spec', level: 'fatal' as never});

/** Starts sent to the only worker when recording starts takes `recordMs`. */
const startsWith = async (recordMs: number): Promise<string[]> => {
  const advice = {baseMs: 1, perWorkerMs: 0, validMs: VALID_MS};
  const log = new TestLog({queues: [{...QUEUE!, advice}]});
  log.addWorker('w1');
  log.submit('a', testSpec([testStep()]));
  const replica = new WorkflowReplica();
  replica.restore(log.db.toImage());
  const sent: string[] = [];
  let ticketAt = 0;
  const isLate = () => systemClock.now() > ticketAt + VALID_MS;
  const orders: OrderPort = {
    start: async (_target, {ticket}: StartOrder) => {
      sent.push(`${ticket} ${isLate() ? 'late' : 'in time'}`);
      return {kind: 'accepted', clockMs: systemClock.now()};
    },
    stop: async () => ({kind: 'accepted', clockMs: systemClock.now()}),
    hold: async () => {
      await pause(systemClock, 10);
      const clockMs = systemClock.now();
      return {
        kind: 'lists',
        clockMs,
        running: [],
        ended: [],
        mayLackEnds: false,
      };
    },
  };
  const scheduler = new SchedulerTask({
    replica,
    clock: systemClock,
    logger,
    orders,
    workerLimits: {maxLeaseMs: 1000, announceMs: 1000},
    term: 1,
    maxStaleLeaderMs: 1400,
    leadershipConfirmedAgeMs: () => 0,
    propose: async (command: WorkflowCommand) => {
      if (command.kind === 'start_runs') await pause(systemClock, recordMs);
      return replica.apply({index: replica.index + 1, command})!;
    },
    callers: () => ['vm'] as VmId[],
    ask: async (_vm, _step, workers) => {
      ticketAt = systemClock.now();
      return {
        kind: 'allowed',
        workers: workers.map(worker => ({worker, ticket: 'ticket'})),
      };
    },
  });
  scheduler.start();
  await pause(systemClock, VALID_MS + recordMs / 2);
  scheduler.close();
  return sent;
};

describe('tickets of starts', () => {
  it('a start whose ticket lapses while it is recorded is not sent', async () => {
    const sent = await startsWith(VALID_MS + 200);
    expect(sent.filter(start => start.endsWith('late'))).to.eql([]);
  });
  it('a start that is recorded in time is sent with its ticket', async () => {
    const [first] = await startsWith(20);
    expect(first).to.equal('ticket in time');
  });
});
