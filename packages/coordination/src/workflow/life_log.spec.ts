import {expect} from 'chai';
import type Logger from 'bunyan';
import {NEVER} from 'rxjs';
import type {
  WorkerId,
  WorkerRegistration,
  WorkflowCommand,
  WorkflowResult,
} from '@primrosewick/state';
import {
  TestLog,
  testSpec,
  testStep,
  testTask,
  testWorker,
} from '@primrosewick/state/fixtures';
import {pause, systemClock} from '@primrosewick/transport';
import {Departures} from './departures.js';
import {LifeLog, MAX_VOID_LINES, type GivenUpReason} from './life_log.js';
import type {HoldAnswer, OrderPort} from './ports.js';
import {WorkerChannel} from './worker_channel.js';
import {WorkerRegistry} from './worker_registry.js';

const WORKER = 'w1' as WorkerId;
const LIFE = {worker: WORKER, bornAt: 10};
const ADDRESS = testWorker('w1').address;

type Line = Record<string, unknown>;

/** A log with a worker that runs two tasks, and what is logged and counted. */
const makeWorld = () => {
  const log = new TestLog();
  log.addWorker('w1', {bornAt: 10, sequence: 5});
  log.submit('a', testSpec([testStep({taskCount: 2})]));
  for (const index of [0, 1]) log.start('w1', testTask('a', 0, index), 1, 10);
  const lines: Line[] = [];
  const logger = {
    info: (line: Line) => lines.push(line),
  } as unknown as Logger;
  const counted: Array<[GivenUpReason, number]> = [];
  const options = {
    logger,
    db: () => log.db,
    onGivenUp: (reason: GivenUpReason, count: number) =>
      counted.push([reason, count]),
  };
  return {log, lines, counted, options};
};

/** A registry of that world; `isLost` tells whether its records get lost. */
const makeRegistry = ({isLost = false} = {}) => {
  const {log, lines, counted, options} = makeWorld();
  const propose = async (command: WorkflowCommand): Promise<WorkflowResult> => {
    if (isLost) throw new Error('not confirmed');
    return log.apply(command);
  };
  const registry = new WorkerRegistry({
    ...options,
    propose,
    onAnnouncement: () => undefined,
  });
  const departures = new Departures({
    ...options,
    propose,
    clock: systemClock,
    applied: NEVER,
  });
  const announce = (part: Partial<WorkerRegistration>) =>
    registry.announce(testWorker('w1', part));
  const leave = (request: {
    readonly worker: WorkerId;
    readonly bornAt: number | null;
  }) => departures.remove(request, 0).catch(() => undefined);
  return {log, lines, counted, leave, announce};
};

/** A channel of that world, to a worker that gives one answer to each hold. */
const makeChannel = (answer: HoldAnswer, isConfirmed = true) => {
  const {log, lines, counted, options} = makeWorld();
  const hold: OrderPort['hold'] = async () => {
    await pause(systemClock, 5);
    return answer;
  };
  const channel = new WorkerChannel({
    ...options,
    db: log.db,
    life: LIFE,
    port: {hold} as OrderPort,
    clock: systemClock,
    term: 1,
    leaseMs: 1000,
    maxGrantedMs: 1000,
    previousLeaderUntil: 0,
    mayOrder: () => true,
    record: async command => {
      if (isConfirmed) log.apply(command);
      return isConfirmed;
    },
    onChange: () => undefined,
    onStarted: () => undefined,
    onStartFailed: () => undefined,
  });
  return {log, channel, lines, counted};
};

/** Opens a channel until it has written a number of lines. */
const linesOf = async (
  {channel, lines}: {readonly channel: WorkerChannel; readonly lines: Line[]},
  count: number,
): Promise<Line[]> => {
  channel.open();
  for (let i = 0; i < 200 && lines.length < count; i++)
    await pause(systemClock, 10);
  channel.close();
  return lines;
};

/** The `run_void` lines of both runs of the world. */
const voidLines = (reason: GivenUpReason, more: Line = {}): Line[] =>
  ['a.0.0.0', 'a.0.0.1'].map(task => ({
    decision: 'run_void',
    task,
    run: 1,
    ...LIFE,
    reason,
    ...more,
  }));

describe('life log', () => {
  it('a deregistration tells the incarnation, its runs and what came of it', async () => {
    const {leave, lines, counted} = makeRegistry();
    const told = {
      decision: 'deregister',
      worker: WORKER,
      knownBornAt: 10,
      runCount: 2,
    };
    await leave({worker: WORKER, bornAt: null});
    await leave({worker: WORKER, bornAt: 10});
    await leave({worker: WORKER, bornAt: 9});
    await leave({worker: 'w2' as WorkerId, bornAt: null});
    expect(lines).to.eql([
      {...told, bornAt: null, outcome: 'no_start'},
      {...told, bornAt: 10, outcome: 'leaving'},
      {...told, bornAt: 9, outcome: 'other_incarnation'},
      {
        decision: 'deregister',
        worker: 'w2',
        bornAt: null,
        knownBornAt: null,
        runCount: 0,
        outcome: 'unknown_worker',
      },
    ]);
    expect(counted).to.eql([]);
  });
  it('a deregistration that is not confirmed is told as such', async () => {
    const {leave, lines, counted} = makeRegistry({isLost: true});
    await leave(LIFE);
    expect(lines).to.have.length(1);
    expect(lines[0]).to.deep.include({outcome: 'unconfirmed'});
    expect(counted).to.eql([]);
  });
  it('a worker that leaves is told as gone once its runs are over', async () => {
    const {log, channel, lines, counted} = makeChannel({kind: 'other_life'});
    const report = testWorker('w1', {bornAt: 10, isLeaving: true});
    log.apply({kind: 'put_worker', report});
    await channel.end.depart();
    expect(lines).to.eql([]);
    log.apply({
      kind: 'void_runs',
      life: LIFE,
      runs: [0, 1].map(index => ({
        task: testTask('a', 0, index),
        run: 1,
        checkpoint: '',
      })),
      reason: 'lease_lapsed',
    });
    await channel.end.depart();
    expect(lines).to.eql([
      {
        change: 'worker_gone',
        ...LIFE,
        address: ADDRESS,
        why: 'deregistered',
        runCount: 0,
        heardAgoMs: undefined,
        index: log.db.index,
      },
    ]);
    expect(counted).to.eql([]);
  });
  it('a removal that is not confirmed is told as such, and not counted', async () => {
    const world = makeChannel({kind: 'other_life'}, false);
    const [gone, ...runs] = await linesOf(world, 3);
    expect(gone).to.deep.include({change: 'worker_gone', isConfirmed: false});
    expect(runs).to.eql(voidLines('other_life', {isConfirmed: false}));
    expect(world.counted).to.eql([]);
  });
  it('a later incarnation tells which one it follows', async () => {
    const {announce, lines, log} = makeRegistry();
    log.apply({kind: 'remove_worker', life: LIFE, runs: []});
    log.addWorker('w1', {bornAt: 10, sequence: 6});
    await announce({bornAt: 20, sequence: 1, address: '10.0.0.9:80'});
    expect(lines).to.eql([
      {
        change: 'worker_registered',
        worker: WORKER,
        bornAt: 20,
        sequence: 1,
        address: '10.0.0.9:80',
        previousAddress: ADDRESS,
        previousBornAt: 10,
      },
    ]);
  });
  it('a later incarnation that is refused tells why', async () => {
    const {announce, lines} = makeRegistry();
    await announce({bornAt: 20, sequence: 1}).catch(() => undefined);
    expect(lines).to.have.length(1);
    expect(lines[0]).to.deep.include({
      decision: 'refuse',
      worker: WORKER,
      bornAt: 20,
      why: 'runs_unproved',
    });
  });
  it('an announcement tells only what has changed', async () => {
    const {announce, lines} = makeRegistry();
    await announce({bornAt: 10, sequence: 6, isDraining: true});
    expect(lines).to.eql([
      {
        change: 'worker_draining',
        worker: WORKER,
        bornAt: 10,
        sequence: 6,
        address: ADDRESS,
      },
    ]);
  });
  it('another incarnation at the address tells what went with the expected one', async () => {
    const world = makeChannel({kind: 'other_life'});
    const [gone, ...runs] = await linesOf(world, 3);
    expect(gone).to.deep.include({
      change: 'worker_gone',
      ...LIFE,
      address: ADDRESS,
      why: 'other_life',
      runCount: 2,
      heardAgoMs: undefined,
    });
    expect(runs).to.eql(voidLines('other_life'));
    expect(world.counted).to.eql([['other_life', 2]]);
  });
  it('runs that a worker never began tell their incarnation', async () => {
    const world = makeChannel({
      kind: 'lists',
      clockMs: 1,
      running: [],
      ended: [],
      mayLackEnds: false,
    });
    expect(await linesOf(world, 2)).to.eql(voidLines('not_started'));
    expect(world.counted).to.eql([['not_started', 2]]);
  });
  it('the lines of one record are bounded, and the last tells how many are left out', () => {
    const {lines, counted, options} = makeWorld();
    const runs = Array.from({length: MAX_VOID_LINES + 8}, (_, i) => ({
      task: testTask('a', 0, i),
      run: 1,
    }));
    const reason = 'lease_lapsed';
    new LifeLog(options).givenUp({life: LIFE, runs, reason, isConfirmed: true});
    expect(lines).to.have.length(MAX_VOID_LINES);
    expect(lines.filter(line => 'skipped' in line)).to.eql([
      {...voidLines(reason)[0], task: 'a.0.0.31', skipped: 8},
    ]);
    expect(counted).to.eql([[reason, MAX_VOID_LINES + 8]]);
  });
});
