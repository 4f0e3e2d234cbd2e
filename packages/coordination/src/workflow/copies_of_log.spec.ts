import bunyan from 'bunyan';
import {expect} from 'chai';
import {
  TestLog,
  testSpec,
  testStep,
  testTask,
  testWorker,
} from '@primrosewick/state/fixtures';
import {Subject} from 'rxjs';
import {pause, systemClock, type Clock} from '@primrosewick/transport';
import {AnnouncementRelay} from './announcements.js';
import {WorkflowReplica} from './replica.js';
import {ReplicaReader} from './replica_reader.js';

const logger = bunyan.createLogger({name: 'spec', level: 'fatal' as never});
const [QUEUE] = new TestLog().db.bundle!.queues;
const address = (rest: string) => ({
  host: QUEUE!.host,
  path: `${QUEUE!.prefix}${rest}`,
});

/** A copy of the log in which one workflow has one task under way. */
const copyOf = (log: TestLog): WorkflowReplica => {
  const replica = new WorkflowReplica();
  replica.restore(log.db.toImage());
  replica.open();
  return replica;
};
const startedLog = (): TestLog => {
  const log = new TestLog();
  log.addWorker('w1');
  log.submit('a', testSpec([testStep()]));
  log.submit('b', testSpec([testStep()]));
  log.start('w1', testTask('a', 0, 0));
  return log;
};
const readerOf = (log: TestLog, ageMs = 0) =>
  new ReplicaReader({
    replica: copyOf(log),
    clock: systemClock,
    ageMs: () => ageMs,
  });

describe('reader of a copy', () => {
  it('tells the state of what it knows, and how much waits', () => {
    const reader = readerOf(startedLog());
    expect(reader.read(address('a'))).to.eql({kind: 'state', state: 'running'});
    expect(reader.read(address('b'))).to.eql({kind: 'state', state: 'queued'});
    expect(reader.read(address(''))).to.eql({kind: 'pending', count: 1});
  });
  it('never says that there is nothing: it may only lag', () => {
    const reader = readerOf(startedLog());
    expect(reader.read(address('unheard'))).to.equal(undefined);
    expect(reader.read({host: 'other', path: '/'})).to.equal(undefined);
  });
  it('answers nothing once the leader was not heard of for a while', () => {
    expect(readerOf(startedLog(), 251).read(address('a'))).to.equal(undefined);
  });
  it('how a workflow ended is told however late the leader is: that does not change', () => {
    const log = startedLog();
    log.end('w1', testTask('a', 0, 0), 'done');
    const reader = readerOf(log, 5000);
    expect(reader.read(address('a'))).to.eql({kind: 'state', state: 'done'});
    expect(reader.read(address('b'))).to.equal(undefined);
  });
  it('a question waits for a copy that is a moment behind', async () => {
    const log = startedLog();
    const replica = copyOf(log);
    const reader = new ReplicaReader({
      replica,
      clock: systemClock,
      ageMs: () => 0,
    });
    const index = replica.index + 1;
    setTimeout(() => replica.apply({index}), 30);
    const answer = await reader.readAt(address('a'), index);
    expect(answer).to.eql({kind: 'state', state: 'running'});
    expect(replica.index).to.equal(index);
  });
  it('a copy that is late now is still one to ask later', () => {
    expect(readerOf(startedLog(), 5000).isReadable).to.equal(true);
  });
  it('still tells how a workflow ended after its details are dropped', () => {
    const log = startedLog();
    log.end('w1', testTask('a', 0, 0), 'done');
    expect(log.db.workflows.get('a' as never)?.spec.steps).to.eql([]);
    expect(readerOf(log).read(address('a'))).to.eql({
      kind: 'state',
      state: 'done',
    });
  });
});

/** A desk beside a copy that knows the worker w1. */
const makeDesk = ({canAnswer = true, fails = false, ageMs = 0} = {}) => {
  const time = {now: 0};
  const log = new TestLog();
  log.addWorker('w1', {sequence: 1});
  const ticks = new Subject<number>();
  const told: string[][] = [];
  let isFailing = fails;
  const fail = (is: boolean) => void (isFailing = is);
  const desk = new AnnouncementRelay({
    db: log.db,
    clock: {every: () => ticks, now: () => time.now} as unknown as Clock,
    logger,
    canAnswer: () => canAnswer,
    ageMs: () => ageMs,
    reportToLeader: async workers => {
      if (isFailing) throw new Error('no leader');
      told.push([...workers]);
    },
  });
  desk.start();
  return {desk, told, tick: () => ticks.next(0), log, fail, time};
};

describe('announcements at any VM', () => {
  it('many announcements without news are one message to the leader', () => {
    const {desk, told, tick, log} = makeDesk();
    log.addWorker('w2', {sequence: 1});
    for (let sequence = 2; sequence < 12; sequence++)
      for (const worker of ['w1', 'w2'])
        expect(desk.acknowledge(testWorker(worker, {sequence}))).to.equal(true);
    tick();
    tick();
    expect(told).to.eql([['w1', 'w2']]);
  });
  it('what the log does not know is left to the leader', () => {
    const {desk} = makeDesk();
    const take = (worker: string, part: object) =>
      desk.acknowledge(testWorker(worker, {sequence: 9, ...part}));
    expect(take('w1', {isDraining: true})).to.equal(false);
    expect(take('w1', {bornAt: 2})).to.equal(false);
    expect(take('w1', {address: '10.0.0.9:80'})).to.equal(false);
    expect(take('unknown', {})).to.equal(false);
  });
  it('an announcement of an earlier life is not taken for the present one', () => {
    const {desk, told, tick, log} = makeDesk();
    log.addWorker('w1', {bornAt: 5, sequence: 1});
    expect(
      desk.acknowledge(testWorker('w1', {bornAt: 1, sequence: 9})),
    ).to.equal(false);
    tick();
    expect(told).to.eql([]);
  });
  it('one that arrives late is acknowledged, and proves nothing', () => {
    const {desk, told, tick} = makeDesk();
    desk.acknowledge(testWorker('w1', {sequence: 8}));
    tick();
    expect(desk.acknowledge(testWorker('w1', {sequence: 7}))).to.equal(true);
    tick();
    expect(told).to.have.length(1);
  });
  it('without contact nothing is acknowledged here', () => {
    const {desk} = makeDesk({canAnswer: false});
    expect(desk.acknowledge(testWorker('w1', {sequence: 2}))).to.equal(false);
  });
  it('workers that the leader could not be told of are told of again', async () => {
    const {desk, told, tick, fail} = makeDesk();
    fail(true);
    desk.acknowledge(testWorker('w1', {sequence: 2}));
    tick();
    await pause(systemClock, 1);
    expect(told).to.eql([]);
    fail(false);
    tick();
    expect(told).to.eql([['w1']]);
  });
  it('an announcement that is old by then is not told of again', async () => {
    const {desk, told, tick, fail, time} = makeDesk();
    fail(true);
    desk.acknowledge(testWorker('w1', {sequence: 2}));
    time.now = 1500;
    tick();
    await pause(systemClock, 1);
    fail(false);
    tick();
    expect(told).to.eql([]);
  });
  it('a copy that is late for a moment sends no announcements to the leader', () => {
    const take = (ageMs: number) =>
      makeDesk({ageMs}).desk.acknowledge(testWorker('w1', {sequence: 2}));
    expect([251, 1000, 1001].map(take)).to.eql([true, true, false]);
  });
  it('a leader that cannot be told ends nothing', () => {
    const {desk, tick} = makeDesk({fails: true});
    desk.acknowledge(testWorker('w1', {sequence: 2}));
    expect(tick).to.not.throw();
  });
});
