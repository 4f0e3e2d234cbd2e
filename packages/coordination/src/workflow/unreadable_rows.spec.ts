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
import type {HoldAnswer, OrderPort} from './ports.js';
import {
  STOP_SETTLED_MS,
  UNREADABLE_PATIENCE_MS,
  UnreadableRows,
} from './unreadable_rows.js';
import {WorkerChannel} from './worker_channel.js';

const logger = bunyan.createLogger({name: 'spec', level: 'fatal' as never});
const FIRST = testTask('a', 0, 0);
const SECOND = testTask('a', 0, 1);
const UNNAMED = {list: 'running'} as const;

const endOf = (sequence: number, task = FIRST) => ({
  sequence,
  task,
  run: 1,
  outcome: 'done' as const,
  checkpoint: '',
});

/** A channel to a worker with two recorded runs, and what follows from its lists. */
const openChannel = (lists: () => Partial<HoldAnswer>) => {
  const log = new TestLog();
  log.addWorker('w1');
  log.submit('a', testSpec([testStep({taskCount: 2})]));
  log.start('w1', FIRST);
  log.start('w1', SECOND);
  const recorded: WorkflowCommand[] = [];
  const acked: number[] = [];
  const stops: number[] = [];
  const port: OrderPort = {
    start: async () => ({kind: 'accepted', clockMs: 1}),
    stop: async (_, {task}) => {
      stops.push(task.index);
      return {kind: 'accepted', clockMs: 1};
    },
    hold: async (_, {endsRecorded}) => {
      acked.push(endsRecorded);
      await pause(systemClock, 20);
      return {
        kind: 'lists',
        mayLackEnds: false,
        clockMs: 1,
        running: [],
        ended: [],
        ...lists(),
      } as HoldAnswer;
    },
  };
  const {worker, bornAt} = log.db.workers.get('w1' as never)!.report;
  const channel = new WorkerChannel({
    life: {worker, bornAt},
    db: log.db,
    port,
    clock: systemClock,
    logger,
    term: 1,
    leaseMs: 1000,
    maxGrantedMs: 1000,
    previousLeaderUntil: 0,
    mayOrder: () => true,
    record: async command => {
      recorded.push(command);
      log.apply(command);
      return true;
    },
    onChange: () => undefined,
    onStarted: () => undefined,
    onStartFailed: () => undefined,
  });
  channel.open();
  return {channel, log, recorded, acked, stops};
};

const listedRun = {
  task: FIRST,
  run: 1,
  checkpoint: '',
  percent: 1,
  load: 0,
};

describe('rows that cannot be decoded', () => {
  it('a run that an odd row may list is not voided, so that it starts only once', async () => {
    const {channel, recorded} = openChannel(() => ({
      running: [listedRun],
      unreadable: [UNNAMED],
    }));
    await pause(systemClock, UNREADABLE_PATIENCE_MS / 2);
    expect(recorded).to.eql([]);
    expect(channel.isUsable).to.equal(true);
    channel.close();
  });
  it('a run that only an odd row may list is stopped, and voided once its stop has settled', async () => {
    const {channel, recorded, stops} = openChannel(() => ({
      running: [listedRun],
      unreadable: [UNNAMED],
    }));
    await pause(systemClock, UNREADABLE_PATIENCE_MS + STOP_SETTLED_MS / 2);
    expect(stops).to.eql([1]);
    expect(recorded).to.eql([]);
    await pause(systemClock, STOP_SETTLED_MS);
    expect(recorded.map(({kind}) => kind)).to.eql(['void_runs']);
    expect(recorded[0]).to.have.nested.property('runs[0].task.index', 1);
    channel.close();
  });
  it('an odd end is not acknowledged past at once, and does not block the later ones for ever', async () => {
    const {channel, log, acked} = openChannel(() => ({
      running: [{...listedRun, task: SECOND}],
      ended: [endOf(1), endOf(3, SECOND)],
      unreadable: [{list: 'ended', sequence: 2}],
    }));
    await pause(systemClock, UNREADABLE_PATIENCE_MS / 2);
    expect(Math.max(...acked)).to.equal(1);
    expect(log.db.workflows.get('a' as never)?.phase).to.equal('open');
    await pause(systemClock, UNREADABLE_PATIENCE_MS);
    expect(Math.max(...acked)).to.equal(3);
    expect(log.db.workflows.get('a' as never)?.phase).to.equal('done');
    channel.close();
  });
  it('an end that becomes readable is recorded with those after it', () => {
    const rows = new UnreadableRows();
    const odd = [{list: 'ended', sequence: 1}] as const;
    const held = rows.selectEnds([endOf(2)], odd, 0, 0);
    expect(held).to.eql({ends: [], isHeldBack: true});
    const later = rows.selectEnds([endOf(2), endOf(1)], [], 0, 10);
    expect(later.ends.map(({sequence}) => sequence)).to.eql([1, 2]);
    expect(later.isHeldBack).to.equal(false);
  });
  it('an end without a number holds all back, for a short while', () => {
    const rows = new UnreadableRows();
    const odd = [{list: 'ended'}] as const;
    expect(rows.selectEnds([endOf(2)], odd, 0, 0).ends).to.eql([]);
    const later = rows.selectEnds([endOf(2)], odd, 0, UNREADABLE_PATIENCE_MS);
    expect(later.ends).to.have.length(1);
  });
  it('an odd row that names its task hides no other run', () => {
    const rows = new UnreadableRows();
    const missing = [
      {task: FIRST, run: 1},
      {task: SECOND, run: 1},
    ];
    const odd = [{list: 'running', task: FIRST}] as const;
    const {absent, toStop} = rows.sortMissing(missing, odd, 0);
    expect(absent.map(({task}) => task.index)).to.eql([1]);
    expect(toStop).to.eql([]);
  });
});
