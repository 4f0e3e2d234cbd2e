import bunyan from 'bunyan';
import {expect} from 'chai';
import {
  taskKey,
  type RunEnd,
  type TaskRef,
  type WorkerId,
} from '@primrosewick/state';
import {
  TestLog,
  testSpec,
  testStep,
  testTask,
} from '@primrosewick/state/fixtures';
import {pause, systemClock} from '@primrosewick/transport';
import type {HoldOrder, OrderPort} from './ports.js';
import {WorkerChannel} from './worker_channel.js';

const logger = bunyan.createLogger({name: 'spec', level: 'fatal' as never});
const WORKER = 'w1' as WorkerId;
const TASK = testTask('a', 0, 0);
const NEXT_TASK = testTask('a', 0, 1);
const HOLD_MS = 10;
/** Time for some holds, in ms. */
const SOME_HOLDS_MS = 100;

/** A worker that runs one task, and ends it when it is stopped, unless it lags. */
const makeWorker = (isLagging: boolean) => {
  const running = new Map([[taskKey(TASK), {task: TASK, run: 1}]]);
  const ended: RunEnd[] = [];
  const started: TaskRef[] = [];
  const holds: HoldOrder[] = [];
  const accept = () => ({kind: 'accepted' as const, clockMs: 1});
  const port: OrderPort = {
    start: async (_target, {task}) => {
      started.push(task);
      return accept();
    },
    stop: async (_target, {task, run}) => {
      if (isLagging) return accept();
      const sequence = ended.length + 1;
      running.delete(taskKey(task));
      ended.push({sequence, task, run, outcome: 'stopped', checkpoint: 'c'});
      return accept();
    },
    hold: async (_target, order) => {
      holds.push(order);
      await pause(systemClock, HOLD_MS);
      const listed = [...running.values()];
      return {
        kind: 'lists',
        clockMs: 1,
        running: listed.map(run => ({
          ...run,
          checkpoint: '',
          percent: 0,
          load: 0,
        })),
        ended: ended.filter(({sequence}) => sequence > order.endsRecorded),
        mayLackEnds: false,
      };
    },
  };
  return {port, started, holds};
};

/** A channel to a worker that runs a task and has another recorded start. */
const makeChannel = (isLagging: boolean) => {
  const worker = makeWorker(isLagging);
  const log = new TestLog();
  log.addWorker('w1');
  log.submit('a', testSpec([testStep({taskCount: 2})]));
  log.start('w1', TASK);
  const {report} = log.db.workers.get(WORKER)!;
  const channel = new WorkerChannel({
    life: {worker: WORKER, bornAt: report.bornAt},
    db: log.db,
    port: worker.port,
    clock: systemClock,
    logger,
    term: 1,
    leaseMs: 1000,
    maxGrantedMs: 1000,
    previousLeaderUntil: 0,
    mayOrder: () => true,
    record: async command => log.apply(command).kind === 'applied',
    onChange: () => undefined,
    onStarted: () => undefined,
    onStartFailed: () => undefined,
  });
  /** The worker says that it leaves. */
  const leave = () =>
    log.apply({
      kind: 'put_worker',
      report: {...report, isDraining: true, isLeaving: true},
    });
  return {...worker, log, channel, leave};
};

describe('channel to a worker that leaves', () => {
  const open: WorkerChannel[] = [];
  afterEach(() => open.splice(0).forEach(channel => channel.close()));

  /** A channel that has been synchronised with its worker. */
  const openChannel = async (isLagging = false) => {
    const made = makeChannel(isLagging);
    open.push(made.channel);
    made.channel.open();
    await pause(systemClock, SOME_HOLDS_MS);
    expect(made.channel.isUsable).to.equal(true);
    return made;
  };

  // Guards against TWICE and LOST: the runs of a worker that has said goodbye went
  // on beyond the end of its lease.
  it('the lease of a worker that leaves is not renewed', async () => {
    const {holds, leave} = await openChannel(true);
    expect(holds.at(-1)?.leaseEnd).to.be.a('number');
    leave();
    holds.length = 0;
    await pause(systemClock, SOME_HOLDS_MS);
    expect(holds).to.not.eql([]);
    expect(holds.map(({leaseEnd}) => leaseEnd)).to.eql(
      holds.map(() => undefined),
    );
  });
  it('the runs of a worker that leaves are stopped, and keep their checkpoint', async () => {
    const {log, leave} = await openChannel();
    leave();
    await pause(systemClock, SOME_HOLDS_MS);
    expect(log.db.findTask(TASK)?.active).to.eql([]);
    expect(log.db.findTask(TASK)?.checkpoint).to.equal('c');
    expect(log.db.workers.has(WORKER)).to.equal(false);
  });
  // Guards against LOST: a task was started on a worker that ended right after it.
  it('a start recorded before the goodbye is not sent, and its run is given up', async () => {
    const {channel, log, started, leave} = await openChannel();
    log.start('w1', NEXT_TASK);
    channel.expect(NEXT_TASK, 1);
    leave();
    const order = {task: NEXT_TASK, run: 1, payload: '', checkpoint: ''};
    await channel.start(order);
    expect(started).to.eql([]);
    expect(log.db.findTask(NEXT_TASK)?.active).to.eql([]);
  });
});
