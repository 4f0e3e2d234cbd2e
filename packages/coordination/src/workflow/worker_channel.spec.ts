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
import type {
  HoldOrder,
  OrderFailure,
  OrderPort,
  WorkerTarget,
} from './ports.js';
import {WorkerChannel} from './worker_channel.js';

const logger = bunyan.createLogger({name: 'spec', level: 'fatal' as never});
const TASK = testTask('a', 0, 0);

/** A channel to a worker with one recorded run, and the orders that it sends. */
const makeChannel = (mayOrder: () => boolean) => {
  const log = new TestLog();
  log.addWorker('w1');
  log.submit('a', testSpec([testStep()]));
  log.start('w1', TASK);
  const sent: string[] = [];
  const recorded: WorkflowCommand[] = [];
  const failures: string[] = [];
  const holds: Array<{target: WorkerTarget; order: HoldOrder}> = [];
  let failure: OrderFailure | undefined;
  let holdFailure: OrderFailure | undefined;
  const accept = (order: string) => async () => {
    sent.push(order);
    return failure ?? {kind: 'accepted' as const, clockMs: 1};
  };
  const port: OrderPort = {
    start: accept('start'),
    stop: accept('stop'),
    hold: async (target, order) => {
      sent.push('hold');
      holds.push({target, order});
      await pause(systemClock, 30);
      if (holdFailure) return holdFailure;
      return {
        kind: 'lists',
        clockMs: 1,
        running: [],
        ended: [],
        mayLackEnds: false,
      };
    },
  };
  const life = log.db.workers.get('w1' as never)!.report;
  const channel = new WorkerChannel({
    life: {worker: life.worker, bornAt: life.bornAt},
    db: log.db,
    port,
    clock: systemClock,
    logger,
    term: 1,
    leaseMs: 1000,
    maxGrantedMs: 1000,
    previousLeaderUntil: 0,
    mayOrder,
    record: async command => recorded.push(command) > 0,
    onChange: () => undefined,
    onStarted: () => undefined,
    onStartFailed: (_task, {kind}) => failures.push(kind),
  });
  const answerWith = (answer: OrderFailure | undefined): void => {
    failure = answer;
  };
  const answerHoldsWith = (answer: OrderFailure | undefined): void => {
    holdFailure = answer;
  };
  return {
    answerHoldsWith,
    log,
    channel,
    sent,
    holds,
    recorded,
    failures,
    answerWith,
  };
};

describe('worker channel', () => {
  const open: WorkerChannel[] = [];
  afterEach(() => open.splice(0).forEach(channel => channel.close()));

  it('a leader without quorum contact sends no orders, and resumes once it is confirmed', async () => {
    let isConfirmed = true;
    const {channel, sent, recorded} = makeChannel(() => isConfirmed);
    open.push(channel);
    channel.expect(TASK, 1);
    channel.open();
    await pause(systemClock, 50);
    isConfirmed = false;
    await pause(systemClock, 50);
    sent.length = 0;
    await channel.start({task: TASK, run: 1, payload: '', checkpoint: ''});
    await channel.stop({task: TASK, run: 1, why: 'preempted'});
    await pause(systemClock, 100);
    expect(sent).to.eql([]);
    expect(recorded.map(({kind}) => kind)).to.contain('void_runs');
    isConfirmed = true;
    await pause(systemClock, 150);
    expect(sent).to.contain('hold');
  });

  // Guards against LOST: a sound worker was set aside for 3 s for a start that was never sent.
  it('a start that its worker never got is no refusal by it', async () => {
    const {channel, failures, answerWith} = makeChannel(() => true);
    open.push(channel);
    channel.open();
    await pause(systemClock, 50);
    answerWith({kind: 'no_answer', detail: 'timeout'});
    const order = {task: TASK, run: 1, payload: '', checkpoint: ''};
    await Promise.all([channel.start(order), channel.start(order)]);
    await channel.start(order);
    expect(failures).to.include('not_sent');
    expect(failures).not.to.include('refused');
  });
  it('a stop that was lost is sent again at once', async () => {
    const {channel, sent, answerWith} = makeChannel(() => true);
    open.push(channel);
    channel.open();
    await pause(systemClock, 50);
    const stop = {task: TASK, run: 1, why: 'preempted'} as const;
    answerWith({kind: 'no_answer', detail: 'timeout'});
    await channel.stop(stop);
    await pause(systemClock, 300);
    answerWith(undefined);
    await channel.stop(stop);
    expect(sent.filter(order => order === 'stop')).to.have.length(2);
  });

  // Guards against TWICE: the next incarnation forgot an end of its own.
  it('ends are acknowledged only to a worker that has answered since a failure', async () => {
    const {log, channel, holds, answerHoldsWith} = makeChannel(() => true);
    log.submit('b', testSpec([testStep()]));
    const other = testTask('b', 0, 0);
    log.start('w1', other);
    log.end('w1', other, 'done');
    open.push(channel);
    channel.open();
    await pause(systemClock, 100);
    const [first, second] = holds;
    expect(first?.order.endsRecorded).to.equal(0);
    expect(second?.order.endsRecorded).to.equal(1);
    answerHoldsWith({kind: 'no_answer', detail: 'timeout'});
    await pause(systemClock, 100);
    const failed = holds.length;
    await pause(systemClock, 200);
    expect(holds[failed]?.order.endsRecorded).to.equal(0);
  });
  it('an order that waits for a connection is outdated by a higher fence', async () => {
    const {channel, holds, answerWith} = makeChannel(() => true);
    open.push(channel);
    channel.open();
    await pause(systemClock, 50);
    const {target} = holds.at(-1)!;
    expect(target.isOutdated?.()).to.equal(false);
    answerWith({kind: 'no_answer', detail: 'timeout'});
    await channel.stop({task: TASK, run: 1, why: 'preempted'});
    expect(target.isOutdated?.()).to.equal(true);
  });
});
