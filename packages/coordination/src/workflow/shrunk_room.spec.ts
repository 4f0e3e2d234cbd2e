import bunyan from 'bunyan';
import {expect} from 'chai';
import {
  isWithinRoom,
  taskKey,
  type StepSpec,
  type VmId,
  type WorkflowCommand,
  type WorkflowDb,
} from '@primrosewick/state';
import {
  TestLog,
  testSpec,
  testStep,
  testWorker,
} from '@primrosewick/state/fixtures';
import {pause, systemClock} from '@primrosewick/transport';
import type {ListedRun, OrderPort} from './ports.js';
import {WorkflowReplica} from './replica.js';
import {SchedulerTask} from './scheduler_task.js';

const RECORD_MS = 20;
const RUN_MS = 200;
const logger = bunyan.createLogger({name: 'spec', level: 'fatal' as never});

/**
 * Starts sent to two workers of four cores, of which w1 reports `cpuMillis`
 * while the first starts are recorded.
 */
const startsWith = async (
  step: Partial<StepSpec>,
  cpuMillis: number,
  isLeaving = false,
): Promise<{readonly sent: string[]; readonly db: WorkflowDb}> => {
  const log = new TestLog();
  log.addWorker('w1');
  log.addWorker('w2');
  log.submit('a', testSpec([testStep(step)]));
  const replica = new WorkflowReplica();
  replica.restore(log.db.toImage());
  const apply = (command: WorkflowCommand) =>
    replica.apply({index: replica.index + 1, command})!;
  const room = {cpuMillis, memMb: 4000, gpus: 0};
  const report = testWorker('w1', {sequence: 2, room, isLeaving});
  const sent: string[] = [];
  const running = new Map<string, ListedRun[]>();
  const accept = async () => ({kind: 'accepted' as const, clockMs: 1});
  const orders: OrderPort = {
    start: async ({worker}, {task, run}) => {
      sent.push(`${taskKey(task)} ${run} ${worker}`);
      const listed = {task, run, checkpoint: '', percent: 0, load: 0};
      running.set(worker, [...(running.get(worker) ?? []), listed]);
      return accept();
    },
    stop: accept,
    hold: async ({worker}) => {
      await pause(systemClock, 10);
      const listed = running.get(worker) ?? [];
      return {
        kind: 'lists',
        clockMs: 1,
        running: listed,
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
    propose: async command => {
      if (command.kind !== 'start_runs') return apply(command);
      const result = apply(command);
      apply({kind: 'put_worker', report});
      await pause(systemClock, RECORD_MS);
      return result;
    },
    callers: () => [] as VmId[],
    ask: () => new Promise(() => undefined),
  });
  scheduler.start();
  await pause(systemClock, RUN_MS);
  scheduler.close();
  return {sent, db: replica.db};
};

const WIDE = {room: {cpuMillis: 3000, memMb: 100, gpus: 0}};

describe('starts on a worker whose room shrinks', () => {
  it('a start that was recorded before the room shrank is sent elsewhere', async () => {
    const {sent, db} = await startsWith(
      {...WIDE, taskCount: 2, maxPerWorker: 1},
      2000,
    );
    expect(sent.filter(start => start.endsWith('w1'))).to.eql([]);
    expect(sent).to.have.length(1);
    expect(db.workers.get('w1' as never)?.used.cpuMillis).to.equal(0);
  });
  it('a start that still fits the smaller room is sent', async () => {
    const {sent} = await startsWith(
      {...WIDE, taskCount: 2, maxPerWorker: 1},
      3000,
    );
    expect(sent).to.have.length(2);
  });
  it('no member of a gang is sent where the room of one has shrunk', async () => {
    const gang = {...WIDE, taskCount: 2, maxPerWorker: 1, isGang: true};
    const {sent, db} = await startsWith(gang, 2000);
    expect(sent).to.eql([]);
    for (const {active} of db.workers.values()) expect(active.size).to.equal(0);
  });
  it('no member of a gang is sent where the worker of one leaves', async () => {
    const gang = {...WIDE, taskCount: 2, maxPerWorker: 1, isGang: true};
    const {sent} = await startsWith(gang, 4000, true);
    expect(sent).to.eql([]);
  });
  it('a gang whose room still holds is sent whole', async () => {
    const gang = {...WIDE, taskCount: 2, maxPerWorker: 1, isGang: true};
    const {sent} = await startsWith(gang, 3000);
    expect(sent).to.have.length(2);
  });
  it('sizes that are not whole numbers do not withhold a start that fits', () => {
    const log = new TestLog();
    const room = {cpuMillis: 11686.9, memMb: 4000, gpus: 0};
    log.addWorker('w1', {room});
    const sizes = [3304.2, 8382.7];
    sizes.forEach((cpuMillis, i) => {
      const id = `f${i}`;
      const size = {cpuMillis, memMb: 1, gpus: 0};
      log.submit(id, testSpec([testStep({room: size})]));
      const start = {worker: 'w1' as never, bornAt: 1, run: 1};
      const task = {workflow: id as never, occurrence: 0, step: 0, index: 0};
      log.apply({kind: 'start_runs', starts: [{...start, task}]});
    });
    const state = log.db.workers.get('w1' as never)!;
    expect(state.active.size).to.equal(2);
    // The plain sum of the sizes is above the room by a rounding error.
    const plain = {...state.used, cpuMillis: sizes[0]! + sizes[1]!};
    expect(plain.cpuMillis).to.be.above(room.cpuMillis);
    expect(isWithinRoom({...state, used: plain})).to.equal(true);
    expect(state.used.cpuMillis).to.be.at.most(room.cpuMillis);
    expect(isWithinRoom(state)).to.equal(true);
  });
});
